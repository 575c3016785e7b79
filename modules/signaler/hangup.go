//go:build cgo

package signaler

/*
#include <signal.h>
#include <string.h>

#ifdef __GLIBC__ // it passes the arguments of the program to constructors
// Ignores SIGHUP until signal.Notify, as the Go runtime leaves an ignored SIGHUP alone. Nothing is lost: a starting daemon reads its settings
// afterwards.
static void __attribute__((constructor)) ignore_hangup(int argc, char **argv) {
	struct sigaction inherited;
	if (argc < 2 || (strcmp(argv[1], "direct") != 0 && strcmp(argv[1], "serve") != 0))
		return;
	if (sigaction(SIGHUP, NULL, &inherited) == 0 && inherited.sa_handler == SIG_DFL)
		signal(SIGHUP, SIG_IGN);
}
#endif
*/
import "C"
