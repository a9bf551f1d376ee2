package hollyslip.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongUnaryOperator;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the load generator in virtual time against targets with exactly known delays. */
class OpenLoopTest {
  private static final Scenario.VolumeLoad LOAD = new Scenario.VolumeLoad("v", "p", 4, 1_000, 0.5, 2, 64, 1,
      ArrivalProcess.Shape.POISSON, 0, 0, 0);

  @TempDir
  Path dir;

  /** Answers each request after a delay that depends on the time of its submission. */
  private static final class FakeTarget implements OpenLoop.Target {
    final LongUnaryOperator delay;
    final PriorityQueue<long[]> outstanding = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
    final List<OpenLoop.ScheduledRequest> submitted = new ArrayList<>();
    int maxOutstanding = Integer.MAX_VALUE;
    /** How long the generator's thread is descheduled each time it waits, us. */
    long descheduledUs;
    long now;

    FakeTarget(LongUnaryOperator delay) {
      this.delay = delay;
    }

    @Override
    public boolean submit(OpenLoop.ScheduledRequest request) {
      if (outstanding.size() >= maxOutstanding) {
        return false;
      }
      outstanding.add(new long[]{now + delay.applyAsLong(now), submitted.size()});
      submitted.add(request);
      return true;
    }

    @Override
    public void flush() {}

    @Override
    public int poll() {
      int n = 0;
      while (!outstanding.isEmpty() && outstanding.peek()[0] <= now) {
        submitted.get((int) outstanding.poll()[1]).complete(OpenLoop.End.SERVED);
        n++;
      }
      return n;
    }

    @Override
    public void awaitAnswers(long untilUs) {
      now = Math.max(now + 1, Math.min(untilUs, outstanding.isEmpty()
          ? Long.MAX_VALUE
          : outstanding.peek()[0])) + descheduledUs;
    }

    @Override
    public long now() {
      return now;
    }
  }

  private static OpenLoop.Stats run(FakeTarget target, boolean closed, double rate, double seconds,
      Histogram latency) {
    ArrivalProcess arrivals = new ArrivalProcess(LOAD.shape(), rate, 5);
    return new OpenLoop(arrivals, new RequestMix(LOAD, 0, 1, 4 << 20, 6), target, closed,
        completion -> latency.recordValue(completion
            .latencyUs()))
        .run(0, (long) (seconds * 1e6));
  }

  @Test
  void openLoopCountsAllRequestsDueInAStallAndClosedLoopHidesThem() {
    // 200 us each, except for a stall from 4 s to 6 s.
    LongUnaryOperator stalls = at -> 200 + (at >= 4_000_000 && at < 6_000_000 ? 6_000_000 - at : 0);
    Histogram open = new Histogram(60_000_000, 3);
    OpenLoop.Stats stats = run(new FakeTarget(stalls), false, 1_000, 10, open);
    assertTrue(stats.valid(1_000));
    assertEquals(stats.due(), stats.answered());
    // Number of requests that the schedule makes due in the stall, more than 1 ms before its end.
    ArrivalProcess again = new ArrivalProcess(LOAD.shape(), 1_000, 5);
    long due = 0;
    for (long at = again.nextDueUs(1); at < 10_000_000; at = again.nextDueUs(1)) {
      due += at >= 4_000_000 && at < 5_999_000 ? 1 : 0;
    }
    long late = open.getTotalCount() - open.getCountBetweenValues(0, 1_199);
    assertEquals(due, late, due * 0.002);
    assertTrue(open.getValueAtPercentile(90) > 900_000);
    Histogram closed = new Histogram(60_000_000, 3);
    run(new FakeTarget(stalls), true, 1_000, 10, closed);
    assertEquals(1, closed.getTotalCount() - closed.getCountBetweenValues(0, 1_199));
    assertTrue(closed.getValueAtPercentile(99.9) < 1_000);
  }

  @Test
  void percentilesMatchTheDelays() {
    Histogram constant = new Histogram(60_000_000, 3);
    run(new FakeTarget(at -> 20_000), false, 2_000, 20, constant);
    for (double p : new double[]{50, 90, 99, 99.9}) {
      assertEquals(20_000, constant.getValueAtPercentile(p), 20_000 * 0.002);
    }
    SplittableRandom random = new SplittableRandom(3);
    Histogram drawn = new Histogram(60_000_000, 3);
    run(new FakeTarget(at -> (long) (-Math.log(1 - random.nextDouble()) * 10_000)), false, 2_000, 100, drawn);
    for (double p : new double[]{50, 90, 99, 99.9}) {
      double exact = -Math.log(1 - p / 100) * 10_000;
      assertEquals(exact, drawn.getValueAtPercentile(p), exact * 0.05, "p" + p + " of 200,000");
    }
  }

  @Test
  void descheduledGeneratorMakesTheRunInvalid() {
    FakeTarget target = new FakeTarget(at -> 200);
    target.descheduledUs = 30_000;
    OpenLoop.Stats stats = run(target, false, 1_000, 5, new Histogram(60_000_000, 3));
    assertFalse(stats.valid(1_000));
  }

  /** A full ring is caused by the target: it must show in the latency, not in the lateness of the
   * generator. */
  @Test
  void fullTargetShowsInLatencyOnly() {
    FakeTarget target = new FakeTarget(at -> 10_000);
    target.maxOutstanding = 5;
    Histogram latency = new Histogram(60_000_000, 3);
    OpenLoop.Stats stats = run(target, false, 1_000, 4, latency);
    assertTrue(stats.valid(1_000));
    assertTrue(stats.waited() > 0);
    // 500 per second are served and 1,000 are due, so at the end of 4 s the queue is about 4 s long.
    assertEquals(4_000_000, latency.getMaxValue(), 600_000);
  }

  @Test
  void shapesHaveTheirMeanRate() {
    for (ArrivalProcess.Kind kind : ArrivalProcess.Kind.values()) {
      double swing = kind == ArrivalProcess.Kind.BURST ? 5 : kind == ArrivalProcess.Kind.CURVE ? 0.8 : 0;
      ArrivalProcess arrivals = new ArrivalProcess(new ArrivalProcess.Shape(kind, 0.5, swing), 1_000, 11);
      long count = 0;
      long previous = 0;
      for (long at = arrivals.nextDueUs(1); at < 400_000_000; at = arrivals.nextDueUs(1)) {
        assertTrue(at >= previous);
        previous = at;
        count++;
      }
      // On and off times have infinite variance, so their mean converges slowly.
      assertEquals(400_000, count, kind == ArrivalProcess.Kind.ONOFF ? 100_000 : 4_000, kind.name());
    }
  }

  @Test
  void mergedLogsEqualASingleLog() throws IOException {
    LatencyLog one = new LatencyLog();
    List<LatencyLog> three = List.of(new LatencyLog(), new LatencyLog(), new LatencyLog());
    SplittableRandom random = new SplittableRandom(8);
    for (int i = 0; i < 30_000; i++) {
      String tag = i % 2 == 0 ? "gold.read" : "gold.write";
      long latencyUs = (long) (-Math.log(1 - random.nextDouble()) * 5_000);
      one.add(tag, i / 3_000, latencyUs);
      three.get(i % 3).add(tag, i / 3_000, latencyUs);
    }
    LatencyLog merged = new LatencyLog();
    for (int i = 0; i < 3; i++) {
      Path file = dir.resolve("log-" + i);
      three.get(i).write(file);
      merged.add(LatencyLog.read(file));
    }
    for (String tag : one.tags()) {
      assertEquals(one.merged(tag), merged.merged(tag));
      assertEquals(one.histogramsBySecond(tag).keySet(), merged.histogramsBySecond(tag).keySet());
    }
    Path corrupted = dir.resolve("cut");
    Files.writeString(corrupted, Files.readString(dir.resolve("log-0"))
        .replaceFirst("Tag=gold.write,.*", "Tag=gold.write,x"));
    String message = assertThrows(IOException.class, () -> LatencyLog.read(corrupted)).getMessage();
    assertTrue(message.contains("cut: interval "), message);
  }
}
