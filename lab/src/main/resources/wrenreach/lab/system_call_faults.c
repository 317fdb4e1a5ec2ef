/*
 * Makes system calls of one process fail as Linux documents that they may. Loaded with LD_PRELOAD; what fails, how often and with
 * which error is read from a control file that another process maps and writes (wrenreach.lab.SystemCallFaults).
 *
 * Environment: WRENREACH_FAULTS_CONTROL names the control file, WRENREACH_FAULTS_FOLDER the folder whose files are meant by
 * faults of the folder. Without a control file nothing fails.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* In the order of SystemCallFaults.Call. */
enum call { SOCKET, CONNECT, ACCEPT, TRANSFER, SHORT, WAIT, FOLDER, CALLS };

/* In place of an error of FOLDER: half of the bytes are written and the process is killed. */
#define KILL_IN_WRITE (-9)
#define MILLION 1000000u
#define MOST_FILES 65536

struct fault {
    _Atomic uint32_t per_million;
    /* 0: one of those documented for the call is drawn. */
    _Atomic int32_t error;
    _Atomic uint32_t injected;
    uint32_t reserved;
};

struct control {
    uint64_t seed;
    _Atomic int64_t wall_offset_ns;
    struct fault faults[CALLS];
};

static struct control *control;
static const char *folder;
static size_t folder_length;
static _Atomic uint64_t draws;
static _Atomic unsigned char in_folder[MOST_FILES];

static const int ERRORS[CALLS][4] = {
    {ENFILE, EMFILE, ENOBUFS, ENOMEM},
    {EADDRNOTAVAIL, ENETUNREACH, EADDRNOTAVAIL, ENETUNREACH},
    {ECONNABORTED, EMFILE, ENFILE, ENOBUFS},
    {ETIMEDOUT, EHOSTUNREACH, ECONNRESET, ETIMEDOUT},
    {0, 0, 0, 0},
    {EINTR, EINTR, EINTR, EINTR},
    {ENOSPC, EIO, ENOSPC, EIO},
};

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("WRENREACH_FAULTS_CONTROL");
    folder = getenv("WRENREACH_FAULTS_FOLDER");
    folder_length = folder ? strlen(folder) : 0;
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int file = path ? real_open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    control = mapped == MAP_FAILED ? NULL : mapped;
    atomic_store(&draws, (uint64_t) getpid() << 32);
}

static uint64_t draw(void) {
    uint64_t z = control->seed + atomic_fetch_add(&draws, 1) * 0x9E3779B97F4A7C15ull;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ull;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBull;
    return z ^ (z >> 31);
}

static int kills_in_write(void) {
    return control && atomic_load(&control->faults[FOLDER].error) == KILL_IN_WRITE;
}

static int strikes(enum call call) {
    if (!control || (call == FOLDER && kills_in_write())) {
        return 0;
    }
    uint32_t rate = atomic_load(&control->faults[call].per_million);
    if (rate == 0 || draw() % MILLION >= rate) {
        return 0;
    }
    atomic_fetch_add(&control->faults[call].injected, 1);
    return 1;
}

/* Whether the call fails this time; then errno is set. */
static int fails(enum call call) {
    if (!strikes(call)) {
        return 0;
    }
    int error = atomic_load(&control->faults[call].error);
    errno = error != 0 ? error : ERRORS[call][draw() % 4];
    return 1;
}

static int internet(int file) {
    struct sockaddr_storage address;
    socklen_t length = sizeof address;
    return getsockname(file, (struct sockaddr *) &address, &length) == 0
            && (address.ss_family == AF_INET || address.ss_family == AF_INET6);
}

static int of_folder(int file) {
    return file >= 0 && file < MOST_FILES && atomic_load(&in_folder[file]);
}

static int path_of_folder(const char *path) {
    return folder_length > 0 && strncmp(path, folder, folder_length) == 0;
}

static int active(enum call call) {
    return control && atomic_load(&control->faults[call].per_million) != 0;
}

/* How much of so many bytes a short transfer moves: at least one. */
static size_t shortened(size_t length) {
    return length > 1 && strikes(SHORT) ? 1 + draw() % (length - 1) : length;
}

#define REAL(type, name, ...) \
    static type (*real)(__VA_ARGS__); \
    if (!real) real = dlsym(RTLD_NEXT, name)

int socket(int domain, int type, int protocol) {
    REAL(int, "socket", int, int, int);
    if ((domain == AF_INET || domain == AF_INET6) && fails(SOCKET)) {
        return -1;
    }
    return real(domain, type, protocol);
}

int connect(int file, const struct sockaddr *address, socklen_t length) {
    REAL(int, "connect", int, const struct sockaddr *, socklen_t);
    if ((address->sa_family == AF_INET || address->sa_family == AF_INET6) && fails(CONNECT)) {
        return -1;
    }
    return real(file, address, length);
}

int accept(int file, struct sockaddr *address, socklen_t *length) {
    REAL(int, "accept", int, struct sockaddr *, socklen_t *);
    /* Linux reports errors of a connection that waits: with none waiting there is nothing to fail. */
    int accepted = real(file, address, length);
    if (accepted >= 0 && fails(ACCEPT)) {
        int error = errno;
        close(accepted);
        errno = error;
        return -1;
    }
    return accepted;
}

ssize_t read(int file, void *bytes, size_t length) {
    REAL(ssize_t, "read", int, void *, size_t);
    if ((active(TRANSFER) || active(SHORT)) && internet(file)) {
        if (fails(TRANSFER)) {
            return -1;
        }
        length = shortened(length);
    }
    return real(file, bytes, length);
}

ssize_t readv(int file, const struct iovec *parts, int count) {
    REAL(ssize_t, "readv", int, const struct iovec *, int);
    if ((active(TRANSFER) || active(SHORT)) && internet(file)) {
        if (fails(TRANSFER)) {
            return -1;
        }
        if (count > 0 && parts[0].iov_len > 0 && strikes(SHORT)) {
            return read(file, parts[0].iov_base, 1 + draw() % parts[0].iov_len);
        }
    }
    return real(file, parts, count);
}

static ssize_t torn(int file, const void *bytes, size_t length) {
    ssize_t (*real)(int, const void *, size_t) = dlsym(RTLD_NEXT, "write");
    if (real(file, bytes, length / 2) >= 0) {
        kill(getpid(), SIGKILL);
    }
    return -1;
}

static int folder_fails(int file) {
    return active(FOLDER) && of_folder(file) && fails(FOLDER);
}

ssize_t write(int file, const void *bytes, size_t length) {
    REAL(ssize_t, "write", int, const void *, size_t);
    if (kills_in_write() && active(FOLDER) && of_folder(file)) {
        return torn(file, bytes, length);
    }
    if (folder_fails(file)) {
        return -1;
    }
    if (of_folder(file)) {
        length = shortened(length);
    } else if ((active(TRANSFER) || active(SHORT)) && internet(file)) {
        if (fails(TRANSFER)) {
            return -1;
        }
        length = shortened(length);
    }
    return real(file, bytes, length);
}

ssize_t writev(int file, const struct iovec *parts, int count) {
    REAL(ssize_t, "writev", int, const struct iovec *, int);
    if (folder_fails(file)) {
        return -1;
    }
    if ((active(TRANSFER) || active(SHORT)) && internet(file)) {
        if (fails(TRANSFER)) {
            return -1;
        }
        if (count > 0 && parts[0].iov_len > 0 && strikes(SHORT)) {
            return write(file, parts[0].iov_base, 1 + draw() % parts[0].iov_len);
        }
    }
    return real(file, parts, count);
}

ssize_t pwrite64(int file, const void *bytes, size_t length, off64_t at) {
    REAL(ssize_t, "pwrite64", int, const void *, size_t, off64_t);
    if (folder_fails(file)) {
        return -1;
    }
    return real(file, bytes, of_folder(file) ? shortened(length) : length, at);
}

int fsync(int file) {
    REAL(int, "fsync", int);
    return folder_fails(file) ? -1 : real(file);
}

int fdatasync(int file) {
    REAL(int, "fdatasync", int);
    return folder_fails(file) ? -1 : real(file);
}

int rename(const char *from, const char *to) {
    REAL(int, "rename", const char *, const char *);
    if (active(FOLDER) && path_of_folder(to) && fails(FOLDER)) {
        return -1;
    }
    return real(from, to);
}

static int opened(int file, const char *path) {
    if (file >= 0 && file < MOST_FILES) {
        atomic_store(&in_folder[file], path_of_folder(path));
    }
    return file;
}

int open64(const char *path, int flags, ...) {
    REAL(int, "open64", const char *, int, ...);
    va_list more;
    va_start(more, flags);
    mode_t mode = va_arg(more, mode_t);
    va_end(more);
    if ((flags & O_ACCMODE) != O_RDONLY && active(FOLDER) && path_of_folder(path) && fails(FOLDER)) {
        return -1;
    }
    return opened(real(path, flags, mode), path);
}

int open(const char *path, int flags, ...) {
    REAL(int, "open", const char *, int, ...);
    va_list more;
    va_start(more, flags);
    mode_t mode = va_arg(more, mode_t);
    va_end(more);
    if ((flags & O_ACCMODE) != O_RDONLY && active(FOLDER) && path_of_folder(path) && fails(FOLDER)) {
        return -1;
    }
    return opened(real(path, flags, mode), path);
}

int close(int file) {
    REAL(int, "close", int);
    if (file >= 0 && file < MOST_FILES) {
        atomic_store(&in_folder[file], 0);
    }
    return real(file);
}

int epoll_wait(int file, struct epoll_event *events, int most, int timeout) {
    REAL(int, "epoll_wait", int, struct epoll_event *, int, int);
    if (fails(WAIT)) {
        return -1;
    }
    return real(file, events, most, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(int, "clock_gettime", clockid_t, struct timespec *);
    int code = real(clock, now);
    if (code == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = now->tv_sec * 1000000000ll + now->tv_nsec + atomic_load(&control->wall_offset_ns);
        now->tv_sec = nanos / 1000000000ll;
        now->tv_nsec = nanos % 1000000000ll;
    }
    return code;
}

int gettimeofday(struct timeval *now, void *zone) {
    struct timespec precise;
    (void) zone;
    int code = clock_gettime(CLOCK_REALTIME, &precise);
    now->tv_sec = precise.tv_sec;
    now->tv_usec = precise.tv_nsec / 1000;
    return code;
}
