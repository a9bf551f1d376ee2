/* Makes system calls of one process fail or fall short, by LD_PRELOAD, as Linux documents that they may.
 *
 * FAULT_ACCEPT_EVERY=N          every Nth accept fails: ECONNABORTED, ENFILE, ENOBUFS, EMFILE in turn
 * FAULT_WRITE_PORT=P            writes to peers at port P
 * FAULT_WRITE_BYTES=B             take B bytes at most,
 * FAULT_WRITE_PAUSE_MS=M          and EAGAIN follows for M ms */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define FDS 4096

static long setting(const char *name) {
  const char *text = getenv(name);
  return text ? atol(text) : 0;
}

static long now_ms(void) {
  struct timespec t;
  clock_gettime(CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int accept_fails(void) {
  static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE};
  static long calls, failed;
  long every = setting("FAULT_ACCEPT_EVERY");
  if (every <= 0 || ++calls % every != 0) {
    return 0;
  }
  errno = errors[failed++ % 4];
  return 1;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
  static int (*real)(int, struct sockaddr *, socklen_t *);
  if (!real) {
    real = (int (*)(int, struct sockaddr *, socklen_t *)) dlsym(RTLD_NEXT, "accept");
  }
  return accept_fails() ? -1 : real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
  static int (*real)(int, struct sockaddr *, socklen_t *, int);
  if (!real) {
    real = (int (*)(int, struct sockaddr *, socklen_t *, int)) dlsym(RTLD_NEXT, "accept4");
  }
  return accept_fails() ? -1 : real(fd, address, length, flags);
}

static int to_slow_port(int fd) {
  long port = setting("FAULT_WRITE_PORT");
  struct sockaddr_storage peer;
  socklen_t length = sizeof peer;
  if (port <= 0 || fd >= FDS || getpeername(fd, (struct sockaddr *) &peer, &length) != 0) {
    return 0;
  }
  /* The JVM's sockets are of IPv6, with mapped addresses. */
  if (peer.ss_family == AF_INET6) {
    return ntohs(((struct sockaddr_in6 *) &peer)->sin6_port) == port;
  }
  return peer.ss_family == AF_INET && ntohs(((struct sockaddr_in *) &peer)->sin_port) == port;
}

/* Bytes that this write may take, or -1 with errno for a pause; the descriptor's last write counts. */
static long allowed(int fd) {
  static long paused_until[FDS];
  if (!to_slow_port(fd)) {
    return 0x7fffffff;
  }
  if (now_ms() < paused_until[fd]) {
    errno = EAGAIN;
    return -1;
  }
  paused_until[fd] = now_ms() + setting("FAULT_WRITE_PAUSE_MS");
  return setting("FAULT_WRITE_BYTES");
}

ssize_t write(int fd, const void *bytes, size_t count) {
  static ssize_t (*real)(int, const void *, size_t);
  if (!real) {
    real = (ssize_t (*)(int, const void *, size_t)) dlsym(RTLD_NEXT, "write");
  }
  long most = allowed(fd);
  return most < 0 ? -1 : real(fd, bytes, count < (size_t) most ? count : (size_t) most);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
  static ssize_t (*real)(int, const struct iovec *, int);
  if (!real) {
    real = (ssize_t (*)(int, const struct iovec *, int)) dlsym(RTLD_NEXT, "writev");
  }
  if (count < 1 || !to_slow_port(fd)) {
    return real(fd, parts, count);
  }
  return write(fd, parts[0].iov_base, parts[0].iov_len);
}
