#include "peer_service.h"

#include "daemon.h"
#include "heartbeat.h"
#include "peer_calls.h"
#include "peer_messages.h"
#include "savorylb/clock.h"

#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>

namespace savorylb {
namespace {

/// Limit of the server's threads; a call that waits in a queue for a slot
/// occupies one.
constexpr int MaxPeerThreads = 512;

bool validPartition(std::uint32_t partition) {
  return partition < static_cast<std::uint32_t>(PartitionCount);
}

/// Stores the entries of a partition that is handed to this VM.
/// \returns true, which acknowledges the handoff, only when the live successor,
/// if there is one, has the entries too; otherwise they would be lost with this
/// VM. False also when this VM is no member of its zone.
bool storeTransferredEntries(Daemon &daemon, const VmId &giver, int partition,
                             const std::vector<OnceEntry> &entries) {
  VmId successor;
  std::string endpoint;
  {
    MembershipState &state = daemon.Membership;
    std::lock_guard<std::mutex> guard(state.Lock);
    auto self = state.Doc.Members.find(daemon.Conf.Vm);
    if (self == state.Doc.Members.end())
      return false;
    if (!state.OwnLease.SuccessorDead)
      successor = self->second.Successor;
    auto it = state.Doc.Members.find(successor);
    if (it != state.Doc.Members.end())
      endpoint = it->second.PeerEndpoint;
  }
  for (const OnceEntry &it : entries)
    if (!endpoint.empty() &&
        !callReplicate(daemon, {successor, endpoint}, partition, it, false))
      return false;
  auto index = static_cast<std::size_t>(partition);
  LedgerShard &shard = daemon.Ledger.Partitions[index];
  std::lock_guard<std::mutex> guard(shard.Lock);
  for (const OnceEntry &it : entries)
    mergeOnce(shard.Incoming[giver], it);
  return true;
}

/// Checks whether a VM may replicate entries here. A VM that was taken over may
/// still send entries. An acknowledgement would let it run a request that the
/// new home VM may let run too.
bool mayReplicate(Daemon &daemon, const VmId &holder,
                  const Incarnation &incarnation) {
  MembershipState &state = daemon.Membership;
  std::lock_guard<std::mutex> guard(state.Lock);
  auto it = state.Doc.Members.find(holder);
  return it != state.Doc.Members.end() &&
         it->second.VmIncarnation == incarnation &&
         state.Grants.TakingOver.count({holder, incarnation}) == 0;
}

class PeerServiceImpl final : public peer::Peer::Service {
public:
  explicit PeerServiceImpl(Daemon &daemon) : Instance(daemon) {}

  grpc::Status Heartbeat(grpc::ServerContext *,
                         const peer::HeartbeatRequest *request,
                         peer::HeartbeatReply *reply) override {
    answerHeartbeat(Instance, *request, *reply);
    return grpc::Status::OK;
  }

  grpc::Status Renew(grpc::ServerContext *, const peer::RenewRequest *request,
                     peer::RenewReply *reply) override {
    reply->set_incarnation(Instance.SelfIncarnation.Value);
    reply->set_granted(
        handleRenew(Instance, VmId(request->holder().vm()),
                    Incarnation(request->holder().incarnation()),
                    Incarnation(request->successor_incarnation())));
    countPeerMessage(*reply);
    return grpc::Status::OK;
  }

  grpc::Status BorrowTokens(grpc::ServerContext *,
                            const peer::BorrowRequest *request,
                            peer::BorrowReply *reply) override {
    SettledGrants settled;
    settled.Lender = Incarnation(request->lender_incarnation());
    settled.Grants.assign(request->settled().begin(), request->settled().end());
    BorrowedGrant grant = lendToPeer(Instance, TeamId(request->team()),
                                     MicroTokens(request->micro_tokens()),
                                     VmId(request->borrower()), settled);
    reply->set_micro_tokens(grant.Amount.Value);
    reply->set_grant(grant.Number);
    reply->set_incarnation(grant.Lender.Value);
    reply->set_level_micro_tokens(grant.RemainingLevel.Value);
    return grpc::Status::OK;
  }

  grpc::Status AcquireSlot(grpc::ServerContext *context,
                           const peer::AcquireRequest *request,
                           peer::AcquireReply *reply) override {
    SlotQuery query;
    query.Service = ServiceId(request->service());
    query.Version = VersionId(request->version());
    query.Team = TeamId(request->team());
    query.Weight = std::max(1, static_cast<int>(request->weight()));
    query.Remaining = Millis(static_cast<std::int64_t>(request->deadline_ms()));
    query.MaxWait = Millis(static_cast<std::int64_t>(request->max_wait_ms()));
    query.Avoid = TargetId(request->avoid_target());
    query.Forwarder = VmId(request->forwarder());
    query.Trace = request->trace();
    SlotAnswer answer = acquireOwnSlot(Instance, query);
    // A forwarding VM that cancelled the call does not release the slot.
    if (answer.Grant && context->IsCancelled()) {
      releaseOwnSlot(Instance, answer.Grant->Target, answer.Grant->Number,
                     SlotResult::Unused, {});
      return grpc::Status::CANCELLED;
    }
    fillSlot(answer, *reply);
    return grpc::Status::OK;
  }

  grpc::Status ReleaseSlot(grpc::ServerContext *,
                           const peer::ReleaseRequest *request,
                           peer::ReleaseReply *) override {
    releaseOwnSlot(Instance, TargetId(request->target()), request->grant(),
                   resultFromName(request->result()),
                   Duration(static_cast<std::int64_t>(request->latency_us())));
    return grpc::Status::OK;
  }

  grpc::Status BeginOnce(grpc::ServerContext *,
                         const peer::BeginOnceRequest *request,
                         peer::BeginOnceReply *reply) override {
    bool ownZone = request->zone() == Instance.Conf.Zone.Value;
    BeginResult result;
    result.Verdict = OnceVerdict::NotHome;
    if (ownZone && validPartition(request->partition())) {
      OnceQuery query;
      query.Identity = RequestId(request->identity());
      query.Partition = static_cast<int>(request->partition());
      query.Digest = request->digest();
      query.Team = TeamId(request->team());
      query.Remaining =
          Millis(static_cast<std::int64_t>(request->deadline_ms()));
      result = beginAtHome(Instance, query);
    }
    reply->set_verdict(verdictName(result.Verdict));
    reply->set_entry(result.Number);
    if (result.Verdict == OnceVerdict::Done)
      fillAnswer(result.Answer, *reply->mutable_answer());
    return grpc::Status::OK;
  }

  grpc::Status FinishOnce(grpc::ServerContext *,
                          const peer::FinishOnceRequest *request,
                          peer::FinishOnceReply *reply) override {
    if (validPartition(request->partition()))
      reply->set_recorded(finishAtHome(Instance, RequestId(request->identity()),
                                       static_cast<int>(request->partition()),
                                       request->entry(), request->outcome(),
                                       readAnswer(request->answer())));
    return grpc::Status::OK;
  }

  grpc::Status ReplicateOnce(grpc::ServerContext *,
                             const peer::ReplicateOnceRequest *request,
                             peer::ReplicateOnceReply *reply) override {
    if (!validPartition(request->partition()) ||
        request->zone() != Instance.Conf.Zone.Value ||
        !mayReplicate(Instance, VmId(request->holder()),
                      Incarnation(request->holder_incarnation())))
      return grpc::Status::OK;
    storeReplica(Instance, VmId(request->holder()),
                 static_cast<int>(request->partition()),
                 readEntry(request->entry(), monoNow()), request->removed());
    reply->set_stored(true);
    return grpc::Status::OK;
  }

  grpc::Status TransferPartition(grpc::ServerContext *,
                                 const peer::TransferPartitionRequest *request,
                                 peer::TransferPartitionReply *reply) override {
    if (!validPartition(request->partition()) ||
        request->zone() != Instance.Conf.Zone.Value)
      return grpc::Status::OK;
    VmId giver(request->giver());
    int partition = static_cast<int>(request->partition());
    std::vector<OnceEntry> entries;
    for (const peer::OnceEntry &it : request->entries())
      entries.push_back(readEntry(it, monoNow()));
    if (!request->replica()) {
      reply->set_stored(
          storeTransferredEntries(Instance, giver, partition, entries));
      return grpc::Status::OK;
    }
    for (const OnceEntry &it : entries)
      storeReplica(Instance, giver, partition, it, false);
    if (request->last()) {
      std::lock_guard<std::mutex> guard(Instance.Ledger.Lock);
      Instance.Ledger.CompleteReplicas[giver] =
          Incarnation(request->giver_incarnation());
    }
    reply->set_stored(true);
    return grpc::Status::OK;
  }

  grpc::Status GetDocument(grpc::ServerContext *,
                           const peer::GetDocumentRequest *request,
                           peer::GetDocumentReply *reply) override {
    CachedDocument held = heldDocument(Instance, request->key());
    reply->set_found(!held.Content.empty());
    reply->set_revision(static_cast<std::uint64_t>(held.Rev.Value));
    reply->set_content(held.Content);
    countPeerMessage(*reply);
    return grpc::Status::OK;
  }

private:
  static void fillSlot(const SlotAnswer &answer, peer::AcquireReply &reply) {
    reply.set_reason(answer.Reason);
    auto ms = std::chrono::duration_cast<Millis>(answer.RetryAfter).count();
    reply.set_retry_after_ms(static_cast<std::uint64_t>(ms));
    reply.set_granted(answer.Grant.has_value());
    if (!answer.Grant)
      return;
    reply.set_grant(answer.Grant->Number);
    reply.set_target(answer.Grant->Target.Value);
    reply.set_address(answer.Grant->Address);
    reply.set_version(answer.Grant->Version.Value);
  }

  Daemon &Instance;
};

} // namespace

PeerServer startPeerServer(Daemon &daemon) {
  auto service = std::make_shared<PeerServiceImpl>(daemon);
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(ownPeerEndpoint(daemon),
                           grpc::InsecureServerCredentials(), &port);
  // Two processes on one port would receive each other's calls.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  // Accepts the keepalive pings that peers send each second, also without calls
  // (see makeStub()); by default gRPC closes such connections.
  builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 500);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  grpc::ResourceQuota quota("peers");
  quota.SetMaxThreads(MaxPeerThreads);
  builder.SetResourceQuota(quota);
  builder.RegisterService(service.get());
  PeerServer server;
  server.Server = builder.BuildAndStart();
  if (port == 0)
    server.Server.reset();
  server.Service = service;
  return server;
}

} // namespace savorylb
