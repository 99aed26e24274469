//go:build cgo

#include <signal.h>

// Runs before the Go runtime, which leaves an ignored SIGHUP ignored until signal.Notify asks for it. The
// default action would end the process.
__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
