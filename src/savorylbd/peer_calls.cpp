#include "peer_calls.h"

#include "daemon.h"
#include "peer_messages.h"
#include "savorylb/clock.h"
#include "savorylb/metrics.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <functional>
#include <grpcpp/client_context.h>
#include <grpcpp/support/client_callback.h>

namespace savorylb {
namespace {

/// Renew, release, replication, and blocking heartbeats that request full
/// states.
constexpr Duration ControlTimeout = Millis(400);
/// Added to the wait in the owner's queue to get the timeout of the call.
constexpr Duration AcquireMargin = Millis(250);
/// Registering and finishing at-most-once requests.
constexpr Duration LedgerTimeout = Millis(500);
/// Calls with large messages: partition transfers and documents.
constexpr Duration TransferTimeout = Seconds(2);
constexpr Duration ConnectProbeTimeout = Millis(200);

void setTimeout(grpc::ClientContext &context, Duration timeout) {
  context.set_deadline(std::chrono::system_clock::now() + timeout);
}

template <typename Request, typename Reply>
using PeerMethod = grpc::Status (PeerStub::*)(grpc::ClientContext *,
                                              const Request &, Reply *);

template <typename Request, typename Reply>
grpc::Status call(Daemon &daemon, const PeerAddress &peer,
                  PeerMethod<Request, Reply> method, const Request &request,
                  Reply &reply, Duration timeout) {
  if (isPeerBlocked(daemon, peer.Endpoint)) {
    simulateLostCall(timeout);
    recordCallResult(daemon, peer.Vm, false);
    return {grpc::StatusCode::DEADLINE_EXCEEDED,
            "blocked by an injected fault"};
  }
  grpc::ClientContext context;
  setTimeout(context, timeout);
  auto stub = stubFor(daemon, peer.Endpoint);
  grpc::Status status = ((*stub).*method)(&context, request, &reply);
  recordCallResult(daemon, peer.Vm, status.ok());
  incrementCounter("peer_calls");
  countPeerMessage(request);
  return status;
}

/// State of an asynchronous call; no thread waits for its reply.
template <typename Request, typename Reply> struct AsyncCall {
  grpc::ClientContext Context;
  Request Message;
  Reply Answer;
  std::shared_ptr<PeerStub> Stub;
};

} // namespace

void countPeerMessage(const google::protobuf::MessageLite &message) {
  incrementCounter("peer_messages_sent");
  incrementCounter("peer_bytes_sent",
                   static_cast<std::int64_t>(message.ByteSizeLong()));
}

bool callHeartbeat(Daemon &daemon, const PeerAddress &peer,
                   const peer::HeartbeatRequest &request,
                   peer::HeartbeatReply &reply) {
  return call(daemon, peer, &PeerStub::Heartbeat, request, reply,
              ControlTimeout)
      .ok();
}

bool callRenew(Daemon &daemon, const PeerAddress &peer,
               const peer::RenewRequest &request, peer::RenewReply &reply) {
  return call(daemon, peer, &PeerStub::Renew, request, reply, ControlTimeout)
      .ok();
}

BorrowedGrant callBorrow(Daemon &daemon, const PeerAddress &peer,
                         const TeamId &team, MicroTokens wanted,
                         const SettledGrants &settled, Duration timeout) {
  peer::BorrowRequest request;
  request.set_team(team.Value);
  request.set_micro_tokens(wanted.Value);
  request.set_borrower(daemon.Conf.Vm.Value);
  request.set_lender_incarnation(settled.Lender.Value);
  for (std::uint64_t number : settled.Grants)
    request.add_settled(number);
  peer::BorrowReply reply;
  BorrowedGrant grant;
  grpc::Status status =
      call(daemon, peer, &PeerStub::BorrowTokens, request, reply, timeout);
  if (!status.ok())
    return grant;
  grant.Amount = MicroTokens(reply.micro_tokens());
  grant.Number = reply.grant();
  grant.Lender = Incarnation(reply.incarnation());
  grant.RemainingLevel = MicroTokens(reply.level_micro_tokens());
  grant.Answered = true;
  return grant;
}

SlotAnswer callAcquire(Daemon &daemon, const PeerAddress &peer,
                       const SlotQuery &query) {
  peer::AcquireRequest request;
  request.set_service(query.Service.Value);
  request.set_version(query.Version.Value);
  request.set_team(query.Team.Value);
  request.set_weight(static_cast<std::uint32_t>(query.Weight));
  auto ms = [](Duration span) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<Millis>(span).count());
  };
  request.set_deadline_ms(ms(query.Remaining));
  request.set_max_wait_ms(ms(query.MaxWait));
  request.set_forwarder(daemon.Conf.Vm.Value);
  request.set_avoid_target(query.Avoid.Value);
  request.set_trace(query.Trace);
  peer::AcquireReply reply;
  MonoTime sentAt = monoNow();
  Duration timeout = std::min(query.Remaining, query.MaxWait + AcquireMargin);
  grpc::Status status =
      call(daemon, peer, &PeerStub::AcquireSlot, request, reply, timeout);
  SlotAnswer answer;
  if (!status.ok()) {
    answer.Reason = "owner-unreachable";
    return answer;
  }
  answer.Reason = reply.reason();
  answer.RetryAfter = Millis(static_cast<std::int64_t>(reply.retry_after_ms()));
  if (reply.granted()) {
    SlotGrant grant;
    grant.Number = reply.grant();
    grant.Target = TargetId(reply.target());
    grant.Address = reply.address();
    grant.Version = VersionId(reply.version());
    grant.ExpiresAt = sentAt + query.Remaining;
    answer.Grant = grant;
  }
  return answer;
}

void sendRelease(Daemon &daemon, const PeerAddress &peer,
                 const TargetId &target, std::uint64_t number,
                 SlotResult result, Duration took) {
  if (isPeerBlocked(daemon, peer.Endpoint))
    return;
  using Call = AsyncCall<peer::ReleaseRequest, peer::ReleaseReply>;
  auto pending = std::make_shared<Call>();
  pending->Stub = stubFor(daemon, peer.Endpoint);
  pending->Message.set_target(target.Value);
  pending->Message.set_grant(number);
  pending->Message.set_result(resultName(result));
  pending->Message.set_latency_us(static_cast<std::uint64_t>(took.count()));
  setTimeout(pending->Context, ControlTimeout);
  // If the release is lost, the owner frees the slot at its deadline.
  pending->Stub->async()->ReleaseSlot(&pending->Context, &pending->Message,
                                      &pending->Answer,
                                      [pending](const grpc::Status &) {});
}

RemoteBegin callBegin(Daemon &daemon, const PeerAddress &peer,
                      const ZoneId &zone, const OnceQuery &query) {
  peer::BeginOnceRequest request;
  request.set_identity(query.Identity.Value);
  request.set_digest(query.Digest);
  request.set_team(query.Team.Value);
  auto ms = std::chrono::duration_cast<Millis>(query.Remaining).count();
  request.set_deadline_ms(static_cast<std::uint64_t>(ms));
  request.set_forwarder(daemon.Conf.Vm.Value);
  request.set_zone(zone.Value);
  request.set_partition(static_cast<std::uint32_t>(query.Partition));
  peer::BeginOnceReply reply;
  grpc::Status status = call(daemon, peer, &PeerStub::BeginOnce, request, reply,
                             std::min(LedgerTimeout, query.Remaining));
  RemoteBegin result;
  result.Reached = status.ok();
  result.MayHaveRegistered = !status.ok();
  if (status.ok()) {
    result.Begin.Verdict = verdictFromName(reply.verdict());
    result.Begin.Number = reply.entry();
    result.Begin.Answer = readAnswer(reply.answer());
  }
  return result;
}

namespace {

using FinishCall = AsyncCall<peer::FinishOnceRequest, peer::FinishOnceReply>;
constexpr int FinishAttempts = 4;

void sendFinishAttempt(Daemon &daemon, const PeerAddress &peer,
                       const peer::FinishOnceRequest &message,
                       int attemptsLeft) {
  if (isPeerBlocked(daemon, peer.Endpoint))
    return;
  auto pending = std::make_shared<FinishCall>();
  pending->Stub = stubFor(daemon, peer.Endpoint);
  pending->Message = message;
  setTimeout(pending->Context, LedgerTimeout);
  pending->Stub->async()->FinishOnce(
      &pending->Context, &pending->Message, &pending->Answer,
      [pending, &daemon, peer, attemptsLeft](const grpc::Status &status) {
        if (!status.ok() && attemptsLeft > 1 && !daemon.Stopping)
          sendFinishAttempt(daemon, peer, pending->Message, attemptsLeft - 1);
      });
}

} // namespace

void sendFinish(Daemon &daemon, const PeerAddress &peer, const ZoneId &zone,
                int partition, const RequestId &identity, std::uint64_t number,
                const std::string &outcome, const StoredAnswer &answer) {
  peer::FinishOnceRequest message;
  message.set_identity(identity.Value);
  message.set_entry(number);
  message.set_outcome(outcome);
  message.set_zone(zone.Value);
  message.set_partition(static_cast<std::uint32_t>(partition));
  fillAnswer(answer, *message.mutable_answer());
  sendFinishAttempt(daemon, peer, message, FinishAttempts);
}

bool callReplicate(Daemon &daemon, const PeerAddress &peer, int partition,
                   const OnceEntry &entry, bool removed) {
  peer::ReplicateOnceRequest request;
  request.set_holder(daemon.Conf.Vm.Value);
  request.set_holder_incarnation(daemon.SelfIncarnation.Value);
  request.set_zone(daemon.Conf.Zone.Value);
  request.set_partition(static_cast<std::uint32_t>(partition));
  request.set_removed(removed);
  fillEntry(entry, monoNow(), *request.mutable_entry());
  peer::ReplicateOnceReply reply;
  return call(daemon, peer, &PeerStub::ReplicateOnce, request, reply,
              ControlTimeout)
             .ok() &&
         reply.stored();
}

bool callTransfer(Daemon &daemon, const PeerAddress &peer,
                  const peer::TransferPartitionRequest &request) {
  peer::TransferPartitionReply reply;
  return call(daemon, peer, &PeerStub::TransferPartition, request, reply,
              TransferTimeout)
             .ok() &&
         reply.stored();
}

bool callGetDocument(Daemon &daemon, const PeerAddress &peer,
                     const std::string &key, peer::GetDocumentReply &reply) {
  peer::GetDocumentRequest request;
  request.set_key(key);
  return call(daemon, peer, &PeerStub::GetDocument, request, reply,
              TransferTimeout)
             .ok() &&
         reply.found();
}

bool refusesConnections(Daemon &daemon, const std::string &endpoint) {
  if (isPeerBlocked(daemon, endpoint))
    return false;
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(endpoint),
                   Poco::Timespan(ConnectProbeTimeout.count()));
    return false;
  } catch (const Poco::Net::ConnectionRefusedException &) {
    return true;
  } catch (const Poco::Exception &) {
    // After a timeout or a network error the process may still be running.
    return false;
  }
}

} // namespace savorylb
