#!/usr/bin/env bash
# Mutation testing: breaks one mechanism after another in a scratch copy of the
# source and runs the tests that should detect it. Prints a Markdown table for
# docs/FAULTS.md. Not part of CI, since it takes minutes.
#
# Usage: mutations.sh [TEXT]    runs only the mutations whose name contains TEXT
set -u
top=$(cd "$(dirname "$0")/../.." && pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT

echo "| mechanism broken | where | noticed by |"
echo "|---|---|---|"

only=${1:-}

# mutate NAME FILE PERL-SUBSTITUTION PACKAGES
# runs the tests of the packages with the substitution applied to the file, and
# prints a row with the tests that failed.
mutate() {
  [[ "$1" == *"$only"* ]] || return 0
  rm -rf "$copy/src"
  mkdir "$copy/src"
  (cd "$top" && git ls-files -coz --exclude-standard | tar --null -T - -cf - ) | tar -xf - -C "$copy/src"
  perl -0pi -e "$3" "$copy/src/$2"
  if cmp -s "$top/$2" "$copy/src/$2"; then
    echo "| $1 | $2 | NOT APPLIED |"
    return
  fi
  local out status failed
  out=$(cd "$copy/src" && timeout 120 go test -timeout 100s -skip "TestSessions|TestSlotLimit|TestOutcomes|TestAllDaemonsReplaced|Rejoin" $4 2>&1)
  status=$?
  if [ $status -eq 0 ]; then
    echo "| $1 | $2 | NOT NOTICED |"
    return
  fi
  # Only a test notices a mutation: one that failed or hung, or made the process panic.
  if grep -qE '\[(build|setup) failed\]' <<<"$out"; then
    echo "| $1 | $2 | DOES NOT BUILD |"
    return
  fi
  failed=$(grep -oE -- '^--- FAIL: [A-Za-z]+|^\s+(Test|Fuzz)[A-Za-z]+ \([0-9hm.]+s\)$' <<<"$out" | grep -oE '(Test|Fuzz)[A-Za-z]+' | sort -u | head -4 | paste -sd' ' || true)
  [ -n "$failed" ] || failed=$(grep -m1 -oE '^panic: [^|]*' <<<"$out" || true)
  if [ -z "$failed" ]; then
    echo "| $1 | $2 | NO TEST FAILED (exit $status) |"
    return
  fi
  echo "| $1 | $2 | $failed |"
}

M=./internal/requestfaults
mutate "nothing (a comment is changed)" requests/idempotency/idempotency.go 's/Package idempotency makes/Package idempotency lets/' "$M ./requests/idempotency"
mutate "nothing (the source does not build)" requests/idempotency/idempotency.go 's/func NewTable/fun NewTable/' "./requests/idempotency"
mutate "a lost owner's keys are granted" requests/idempotency/idempotency.go 's/case keyTime\.Before\(p\.completeSince\):/case false:/' "$M ./requests/idempotency"
mutate "a new owner does not wait for the old table" requests/idempotency/idempotency.go 's/if t\.servingSince\.IsZero\(\) \|\| now\.Sub\(t\.viewSetAt\) < t\.opts\.HandoverWait/if false/' "$M ./requests/idempotency"
mutate "a grant is not recorded" requests/idempotency/idempotency.go 's/\tt\.insert\(p, &Claim\{Key: r\.Key[^\n]*\n//' "$M ./requests/idempotency"
mutate "an abandoned attempt allows others" requests/idempotency/idempotency.go 's/if refusal, ok := t\.refuseUnknown\(now, p, r\.Key\); ok \{/if refusal, ok := t.refuseUnknown(now, p, r.Key); ok && !found {/' "$M ./requests/idempotency"
mutate "a transferred claim does not replace an abandoned one" requests/idempotency/idempotency.go 's/case c\.Status == Abandoned && incoming\.Status != Abandoned:/case false:/' "$M ./requests/idempotency"
mutate "missed views are not noticed" requests/idempotency/handover.go 's/if missed == 0 \{/if true {/' "$M ./requests/idempotency"
mutate "a view serves before the earlier one stopped" requests/member/member.go 's/return \w+\.allStopped\n/return true\n/' "$M ./requests/member"
mutate "a minority serves" requests/member/member.go 's/return 2\*n > total[^\n]*/return true/' "$M ./requests/member"
mutate "a newer epoch is ignored" requests/member/member.go 's/if \w+\.highestEpoch == \w+\.view\.Epoch \{/if true {/' "$M ./requests/member"
mutate "a request that may have run is recorded as not run" requests/entry/keyed.go 's/case verdict\.Of\(err\) == verdict\.NotRun:\n\t\th\.Claims/case true:\n\t\th.Claims/' "$M"
mutate "a daemon records the end of an attempt on its own key later" requests/cluster/claims.go 's/if c\.table\.RecordAttempt\(a\.claim\) \{/if false {/' "./requests/cluster"
mutate "the request is sent without a claim" requests/entry/handler.go 's/if c\.key == "" \{\n\t\treturn h\.send/if true {\n\t\treturn h.send/' "$M"
mutate "a cut-off daemon goes on sending" requests/entry/handler.go 's/if !h\.ServingStatus\(\)\.MayUseSlots\(time\.Now\(\)\) \{/if false {/g' "$M ./requests/entry"
mutate "a keyed request that may have run is retried" requests/retry/retry.go 's/safeToRetry := a\.Verdict == verdict\.NotRun \|\| a\.Idempotent/safeToRetry := true/' "$M ./requests/retry"
mutate "net/http may replay" adapter/backendhttp/client.go 's/req\.Body = opaqueBody\{bytes\.NewReader\(r\.Body\)\}/req.Body = io.NopCloser(bytes.NewReader(r.Body))\n\treq.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(r.Body)), nil }/' "./adapter/backendhttp"
mutate "a write after the connection was sealed is allowed" adapter/backendhttp/client.go 's/\tc\.sealed = true\n//' "./adapter/backendhttp"
mutate "slot shares are used before requests of lost members have ended" requests/slots/slots.go 's/\tif !a\.memberLost \{\n\t\treturn true/\tif true {\n\t\treturn true/' "./requests/slots"
mutate "loans outlive their view" requests/slots/slots.go 's/if l\.Epoch != a\.view\.Epoch \|\| w == nil/if w == nil/' "./requests/slots"
mutate "a lost answer counts as not written" requests/record/record.go 's/\t\tuncertain = true\n/\t\treturn Written{}, verdict.New(verdict.NotRun, CodeConflict, "x")\n/' "./requests/record"
mutate "a successful write that was overwritten counts as a conflict" requests/record/record.go 's/if slices\.Contains\(env\.Tokens, p\.token\)/if false/' "./requests/record"
mutate "failed instances do not count against the budget" requests/budget/budget.go 's/s\.Failed = append\(s\.Failed, m\.Instance\)/_ = 0/' "$M ./requests/wave"
mutate "a wave ignores the budget" requests/wave/grant.go 's/if account\.Headroom\(\) <= 0 \{/if false {/' "$M ./requests/wave"
mutate "a claim is dropped before the instance is back" requests/wave/advance.go 's/done = inst\.State == fleet\.InstanceReady/done = true/' "$M ./requests/wave"
mutate "an outdated command counts as carried out" requests/wave/advance.go 's/inst\.Generation == d\.Command\.Generation\+1:/inst.Generation > d.Command.Generation:/' "$M ./requests/wave"
mutate "a move removes the claim before the instance is back in service" requests/wave/advance.go 's/p\.enterPhase\(d, fleet\.PhaseReturn, inst\)\n\t\treturn\n\t\}\n\tp\.plan\.MembershipChanges/p.complete(d)\n\t\treturn\n\t}\n\tp.plan.MembershipChanges/' "$M ./requests/wave"
mutate "a request refused by an overloaded worker is retried" requests/retry/retry.go 's/!safeToRetry \|\| a\.Overloaded/!safeToRetry/' "./requests/retry"
