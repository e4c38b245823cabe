#!/usr/bin/env bash
# Fits value = a + b * size by least squares to the lines "size value" on standard
# input and prints a, b, the largest residual and the value at FULL_SIZE.
#   fit.sh FULL_SIZE < points
awk -v full="$1" '{x[NR] = $1; y[NR] = $2; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2}
  END {b = (NR * sxy - sx * sy) / (NR * sxx - sx * sx); a = (sy - b * sx) / NR
    for (i = 1; i <= NR; ++i) {r = y[i] - a - b * x[i]; if (r < 0) r = -r; if (r > m) m = r}
    printf "{\"a\": %.4g, \"b\": %.4g, \"residual\": %.3g, \"at_%d\": %.5g}\n", a, b, m, full, a + b * full}'
