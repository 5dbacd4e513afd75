/*
 * The Python interpreter, started with SIGHUP, SIGINT and SIGTERM blocked.
 *
 * By default each of them ends the process, and it takes an interpreter milliseconds,
 * on a busy machine a good part of a second, to reach the first line of a program.
 * Its library is loaded once they are blocked; the dynamic linker would load it before.
 *
 * The stack gets its address space before anything else can take it: where a limit
 * leaves none, a deeper call ends the process instead of failing.
 */
#define _POSIX_C_SOURCE 200809L

#include <dlfcn.h>
#include <signal.h>
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

/* Bytes of the stack, unless its limit is less than four times that. */
#define STACK_RESERVE (1024 * 1024)

typedef int (*main_function)(int, char **);

/* Only the page that is written occupies memory. */
__attribute__((noinline)) static void reserve_stack(void)
{
    volatile char reserve[STACK_RESERVE];

    reserve[0] = 0;
    (void)reserve[0];
}

int main(int argc, char **argv)
{
    sigset_t held;
    void *library;
    struct rlimit stack;
    main_function run_interpreter = NULL;

    sigemptyset(&held);
    sigaddset(&held, SIGHUP);
    sigaddset(&held, SIGINT);
    sigaddset(&held, SIGTERM);
    if (sigprocmask(SIG_BLOCK, &held, NULL) != 0) {
        perror("python3: sigprocmask");
        return 1;
    }

    if (getrlimit(RLIMIT_STACK, &stack) == 0 && stack.rlim_cur / 4 >= STACK_RESERVE)
        reserve_stack();

    /* Extension modules find the interpreter's functions in the global scope only. */
    library = dlopen(PYTHON_LIBRARY, RTLD_NOW | RTLD_GLOBAL);
    if (library != NULL)
        run_interpreter = (main_function)dlsym(library, "Py_BytesMain");

    /* Prefix, standard library and virtual environment are found by this name. */
    argv[0] = PYTHON_EXECUTABLE;
    if (run_interpreter != NULL)
        return run_interpreter(argc, argv);

    /* The machine has another interpreter than at the build: signals stay blocked. */
    fprintf(stderr, "python3: %s\n", dlerror());
    execv(PYTHON_EXECUTABLE, argv);
    perror("python3: " PYTHON_EXECUTABLE);
    return 1;
}
