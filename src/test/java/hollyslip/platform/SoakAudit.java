package hollyslip.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Collects what the clients and disk servers of a soak test saw of each request and reports violations of
 * the rules. Times are milliseconds of one monotonic clock. A timing violation is inconclusive, and only
 * counted, if the machine kept threads of this process or of the scheduler waiting for a core, or if it is
 * explained by a stop of the scheduler for longer than the platform allows. */
final class SoakAudit implements AutoCloseable {
  /** Time limits of the rules: a response after the client's timeout, forwarding after the end of a request,
   * and the forwarded deadline beyond the time left. */
  static final long RESPONSE_SLACK_MS = 500, AFTER_END_MS = 100, DEADLINE_SLACK_MS = 150;

  /** A sample delayed by more than this threshold shows that the machine stalls this process. */
  private static final long STALL_THRESHOLD_MS = 15, SAMPLE_MS = 10;

  /** Longest time that the platform may stop a scheduler between reading its clock and writing, ms. */
  private static final long ALLOWED_STOP_MS = 150;

  private static final long NOT_ENDED = Long.MAX_VALUE;

  private final Map<String, TrackedRequest> trackedRequests = new ConcurrentHashMap<>();
  private final List<long[]> machineStalls = new ArrayList<>();
  private final Thread monitor = new Thread(this::monitorMachine, "machine monitor");
  /** Spans in which the scheduler was stopped; also printed in messages. */
  private final List<Stop> stops = new CopyOnWriteArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final List<TimingViolation> timingViolations = new ArrayList<>();
  final AtomicInteger served = new AtomicInteger(), refused = new AtomicInteger(),
      failed = new AtomicInteger(),
      disconnected = new AtomicInteger(), unread = new AtomicInteger(), inconclusive = new AtomicInteger();

  /** A span in which the scheduler was stopped. */
  private record Stop(long from, long to) {}

  /** A time limit exceeded by {@code excessMs}, and the span that was measured. */
  private record TimingViolation(String description, long excessMs, long from, long to) {}

  /** One request, as seen by its client and by the disk servers. */
  private static final class TrackedRequest {
    final long timeoutMs;
    long sentAt;
    final boolean repeatable;
    /** When its client received the response or disconnected. */
    long endedAt = NOT_ENDED;
    int executions;

    TrackedRequest(long sentAt, long timeoutMs, boolean repeatable) {
      this.sentAt = sentAt;
      this.timeoutMs = timeoutMs;
      this.repeatable = repeatable;
    }
  }

  /** With {@code monitorsMachine}, timing violations during a stall of this process are inconclusive. */
  SoakAudit(boolean monitorsMachine) {
    monitor.setDaemon(true);
    if (monitorsMachine) {
      monitor.start();
    }
  }

  static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Detects stalls by how late a sleep ends and how long a new thread takes to run. */
  private void monitorMachine() {
    try {
      while (true) {
        long before = nowMs();
        Thread.sleep(SAMPLE_MS);
        Thread started = new Thread(() -> {});
        started.start();
        started.join();
        if (nowMs() - before > SAMPLE_MS + STALL_THRESHOLD_MS) {
          synchronized (machineStalls) {
            machineStalls.add(new long[]{before, nowMs()});
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Whether this process was stalled in the span of the violation, or just before. */
  private boolean overlapsMachineStall(TimingViolation violation) {
    synchronized (machineStalls) {
      return machineStalls.stream()
          .anyMatch(
              stall -> stall[0] <= violation.to && stall[1] >= violation.from - AFTER_END_MS);
    }
  }

  /** Time in this span, ms, by which stops of the scheduler exceeded what the platform allows. */
  private long excessStopMs(TimingViolation violation) {
    return stops.stream()
        .filter(stop -> stop.from() <= violation.to && stop.to() + SAMPLE_MS >= violation.from)
        .mapToLong(stop -> Math.max(0, stop.to() - stop.from() - ALLOWED_STOP_MS))
        .sum();
  }

  /** Records that a time limit was exceeded; evaluated at the end, when all stalls and stops are known. */
  void addTimingViolation(String description, long excessMs, long from) {
    synchronized (violations) {
      timingViolations.add(new TimingViolation(description, excessMs, from, nowMs()));
    }
  }

  /** The scheduler was stopped from {@code from} until now. */
  void schedulerStopped(long from) {
    stops.add(new Stop(from, nowMs()));
  }

  /** Records a violation that no delay can explain. */
  void addViolation(String description) {
    synchronized (violations) {
      violations.add(description);
    }
  }

  /** A client is about to write the last byte of a request. */
  void sending(String id, long timeoutMs, boolean repeatable) {
    trackedRequests.put(id, new TrackedRequest(nowMs(), timeoutMs, repeatable));
  }

  /** The last byte of a request was written. */
  void sent(String id) {
    TrackedRequest request = trackedRequests.get(id);
    synchronized (request) {
      request.sentAt = nowMs();
    }
  }

  /** The client of a request is about to disconnect. */
  void disconnecting(String id) {
    TrackedRequest request = trackedRequests.get(id);
    synchronized (request) {
      request.endedAt = Math.min(request.endedAt, nowMs());
    }
    disconnected.incrementAndGet();
  }

  /** A client that left sends a request with the same id, on another connection. */
  void sendingAgain(String id) {
    TrackedRequest request = trackedRequests.get(id);
    synchronized (request) {
      request.sentAt = nowMs();
      request.endedAt = NOT_ENDED;
    }
  }

  /** The client of a request knows from a reset that it was not read. */
  void notRead(String id) {
    TrackedRequest request = trackedRequests.get(id);
    synchronized (request) {
      if (request.executions > 0) {
        addViolation("reset after it was forwarded: " + id);
      }
      request.endedAt = nowMs();
    }
    unread.incrementAndGet();
  }

  /** The complete response to a request was received. */
  void responseReceived(String id, String response) {
    long now = nowMs();
    TrackedRequest request = trackedRequests.get(id);
    synchronized (request) {
      request.endedAt = Math.min(request.endedAt, now);
    }
    long due = request.sentAt + request.timeoutMs + RESPONSE_SLACK_MS;
    if (now > due) {
      addTimingViolation("response received " + (now - request.sentAt) + " ms after it was sent, timeout "
          + request.timeoutMs + ": " + id, now - due, request.sentAt);
    }
    String status = response.substring(9, 12);
    switch (status) {
      case "200" -> {
        served.incrementAndGet();
        if (!response.endsWith("\r\n\r\n" + id)) {
          addViolation("response of another request: " + id + " got "
              + response.substring(response.indexOf("\r\n\r\n") + 4));
        }
      }
      case "503", "429" -> refused.incrementAndGet();
      default -> failed.incrementAndGet();
    }
  }

  /** The connection was closed without a response and without a reset, which would show that the request was
   * not read. */
  void closedWithoutResponse(String id) {
    addViolation("closed without a response: " + id);
  }

  /** A disk server received a complete request, its first byte at {@code firstByteAt}, and executes it. */
  void executed(String id, long firstByteAt, long forwardedUs) {
    TrackedRequest request = trackedRequests.get(id);
    if (request == null) {
      addViolation("a request that no client sent: " + id);
      return;
    }
    long endedAt;
    synchronized (request) {
      request.executions++;
      if (request.executions > 1 && !request.repeatable) {
        addViolation("executed twice: " + id);
      }
      endedAt = request.endedAt;
    }
    if (endedAt != NOT_ENDED && firstByteAt > endedAt + AFTER_END_MS) {
      addTimingViolation("forwarded " + (firstByteAt - endedAt) + " ms after its end: " + id,
          firstByteAt - endedAt - AFTER_END_MS, endedAt);
    }
    long leftMs = Math.max(0, request.sentAt + request.timeoutMs - firstByteAt);
    if (forwardedUs / 1000 > leftMs + DEADLINE_SLACK_MS) {
      addTimingViolation("forwarded with " + forwardedUs / 1000 + " ms left, client has " + leftMs + ": "
          + id, forwardedUs / 1000 - leftMs - DEADLINE_SLACK_MS, request.sentAt);
    }
  }

  /** The violations, one line each; to be called once all clients and the process have ended. */
  List<String> violations() {
    synchronized (violations) {
      List<String> all = new ArrayList<>(violations);
      for (TimingViolation violation : timingViolations) {
        if (overlapsMachineStall(violation) || violation.excessMs <= excessStopMs(violation)) {
          inconclusive.incrementAndGet();
        } else {
          all.add(violation.description + ", from " + violation.from + " to " + violation.to
              + ", scheduler stopped " + stops);
        }
      }
      timingViolations.clear();
      return all;
    }
  }

  int requests() {
    return trackedRequests.size();
  }

  @Override
  public String toString() {
    return requests() + " requests: served " + served + ", refused " + refused + ", failed " + failed
        + ", disconnected " + disconnected + ", not read " + unread + "; inconclusive " + inconclusive;
  }

  @Override
  public void close() {
    monitor.interrupt();
  }
}
