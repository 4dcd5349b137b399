// A library that is loaded before the C library (LD_PRELOAD) and makes system calls of one process fail, or steps its
// wall clock, as a control file says. The test that started the process writes that file; it is mapped into memory, so
// that a change holds from the next call on.
//
// The control file holds 64-bit integers. [0] is added to the wall clock, in nanoseconds. Behind it comes for each call
// of `enum call` a pair: the error number (for a short read or write: the most bytes), and how many calls of a thousand
// are affected. [62] counts the faults injected; [63] is the seed.
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define WORDS 64
enum call { ACCEPT, SOCKET, CONNECT, WAIT, SHORT_READ, SHORT_WRITE, READ_ERROR, WRITE_ERROR, FILE_WRITE, FILE_SYNC, HALF_WRITE };

static volatile int64_t *control;
static int64_t none[WORDS];
static __thread uint64_t state;

static volatile int64_t *words(void) {
    if (control)
        return control;
    const char *path = getenv("SYSTEM_CALLS_CONTROL");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    void *mapped = MAP_FAILED;
    if (file >= 0) {
        mapped = mmap(NULL, WORDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        close(file);
    }
    control = mapped == MAP_FAILED ? none : (volatile int64_t *)mapped;
    return control;
}

// Whether this call is affected.
static int hits(enum call call) {
    volatile int64_t *all = words();
    int64_t of_thousand = all[2 + 2 * call];
    if (of_thousand == 0)
        return 0;
    if (!state)
        state = (uint64_t)all[63] * 0x9e3779b97f4a7c15u + (uint64_t)(uintptr_t)&state;
    state ^= state << 13, state ^= state >> 7, state ^= state << 17;
    if ((int64_t)(state % 1000) >= of_thousand)
        return 0;
    __atomic_fetch_add((int64_t *)&all[62], 1, __ATOMIC_RELAXED);
    return 1;
}

static int64_t value(enum call call) { return words()[1 + 2 * call]; }

#define REAL(result, name, ...) \
    static result (*real)(__VA_ARGS__); \
    if (!real) \
        real = (result(*)(__VA_ARGS__))dlsym(RTLD_NEXT, name)

#define FAIL_IF(call) \
    if (hits(call)) { \
        errno = (int)value(call); \
        return -1; \
    }

int clock_gettime(clockid_t clock, struct timespec *at) {
    REAL(int, "clock_gettime", clockid_t, struct timespec *);
    int result = real(clock, at);
    if (result == 0 && clock == CLOCK_REALTIME) {
        int64_t nanoseconds = at->tv_sec * 1000000000ll + at->tv_nsec + words()[0];
        at->tv_sec = nanoseconds / 1000000000ll;
        at->tv_nsec = nanoseconds % 1000000000ll;
    }
    return result;
}

int accept4(int listener, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int);
    FAIL_IF(ACCEPT);
    return real(listener, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(int, "socket", int, int, int);
    FAIL_IF(SOCKET);
    return real(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    REAL(int, "connect", int, const struct sockaddr *, socklen_t);
    FAIL_IF(CONNECT);
    return real(descriptor, address, length);
}

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout) {
    REAL(int, "epoll_wait", int, struct epoll_event *, int, int);
    if (hits(WAIT)) {
        errno = EINTR;
        return -1;
    }
    return real(descriptor, events, most, timeout);
}

static size_t cut(enum call call, size_t length) {
    size_t most = (size_t)value(call);
    return length > most && hits(call) ? most : length;
}

ssize_t recv(int descriptor, void *bytes, size_t length, int flags) {
    REAL(ssize_t, "recv", int, void *, size_t, int);
    FAIL_IF(READ_ERROR);
    return real(descriptor, bytes, cut(SHORT_READ, length), flags);
}

ssize_t send(int descriptor, const void *bytes, size_t length, int flags) {
    REAL(ssize_t, "send", int, const void *, size_t, int);
    FAIL_IF(WRITE_ERROR);
    return real(descriptor, bytes, cut(SHORT_WRITE, length), flags);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    REAL(ssize_t, "writev", int, const struct iovec *, int);
    FAIL_IF(WRITE_ERROR);
    if (count > 0 && parts[0].iov_len > 0) {
        struct iovec first = parts[0];
        first.iov_len = cut(SHORT_WRITE, first.iov_len);
        if (first.iov_len < parts[0].iov_len)
            return real(descriptor, &first, 1);
    }
    return real(descriptor, parts, count);
}

static ssize_t write_to_file(ssize_t (*real)(int, const void *, size_t, off_t), int file, const void *bytes, size_t length, off_t at) {
    FAIL_IF(FILE_WRITE);
    // A kill in the middle of a write: half of it is on the disk.
    if (length > 1 && hits(HALF_WRITE)) {
        real(file, bytes, length / 2, at);
        _exit(137);
    }
    return real(file, bytes, length, at);
}

ssize_t pwrite64(int file, const void *bytes, size_t length, off_t at) {
    REAL(ssize_t, "pwrite64", int, const void *, size_t, off_t);
    return write_to_file(real, file, bytes, length, at);
}

ssize_t pwrite(int file, const void *bytes, size_t length, off_t at) {
    REAL(ssize_t, "pwrite", int, const void *, size_t, off_t);
    return write_to_file(real, file, bytes, length, at);
}

ssize_t write(int file, const void *bytes, size_t length) {
    REAL(ssize_t, "write", int, const void *, size_t);
    struct stat status;
    if (words()[2 + 2 * FILE_WRITE] && fstat(file, &status) == 0 && S_ISREG(status.st_mode))
        FAIL_IF(FILE_WRITE);
    return real(file, bytes, length);
}

int fdatasync(int file) {
    REAL(int, "fdatasync", int);
    FAIL_IF(FILE_SYNC);
    return real(file);
}

int fsync(int file) {
    REAL(int, "fsync", int);
    FAIL_IF(FILE_SYNC);
    return real(file);
}
