package hollyslip.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.audit.RequestRecord;
import hollyslip.load.Scenario;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** The emulator is deterministic, has the modelled latencies, and passes the same audit as runs over
 * sockets. */
class EmulationTest {
  private static final String SCENARIO = """
      day %s
      seed %d
      gateways 2
      nodes count 4 cores 4 queue 64 base-us 1000
      plan gold rate 400 reserve 200 weight 4
      plan plain rate 200 reserve 50 weight 1 limit 300 limit-burst 60 limit-slack 16
      volume orders plan gold rate 300 reads 0.6 most-blocks 4 depth 64
      volume returns plan plain rate 100 reads 0.5 most-blocks 2 depth 64
      """;

  private static Scenario scenario(String seconds, long seed, String... disturbances) {
    return Scenario.parse(SCENARIO.formatted(seconds, seed) + String.join("\n", disturbances));
  }

  private static String figures(EmulationResult result) {
    return result.eventCount() + " " + result.all().asked() + " " + result.all().inAim() + " " + result.all()
        .latency()
        .getValueAtPercentile(99.9) + " " + result.audit().checked();
  }

  @Test
  void equalScenariosGiveEqualRunsOnAnyThread() {
    Scenario scenario = scenario("6", 3, "at 1 stall part 0.5 for 1", "at 2 gateway-crash for 1",
        "at 4 answer-lost part 0.5 size 0.2 for 1");
    List<String> runs = LongStream.range(0, 4)
        .parallel()
        .mapToObj(i -> figures(Emulation.play(scenario)))
        .toList();
    assertEquals(1, runs.stream().distinct().count(), runs::toString);
    assertNotEquals(runs.get(0), figures(Emulation.play(scenario.with(4))));
  }

  @Test
  void undisturbedLoadIsServedWithinAFewServiceTimes() {
    EmulationResult result = Emulation.play(scenario("10", 1));
    assertTrue(result.audit().kept(), () -> result.audit().breaches().toString());
    assertEquals(result.all().asked(), result.all().count(RequestRecord.Answer.SERVED));
    // A core takes 0.7 to 1.3 ms, the network 40 us each way.
    long p50 = result.all().latency().getValueAtPercentile(50);
    assertTrue(p50 > 1_000 && p50 < 2_000, "p50 of " + p50 + " us");
  }

  /** Requests due during a stall must all be counted, each late by the remainder of the stall. */
  @Test
  void stallShowsInTailLatency() {
    EmulationResult result = Emulation.play(scenario("10", 1, "at 4 stall part 1 for 1"));
    assertTrue(result.audit().kept(), () -> result.audit().breaches().toString());
    // A tenth of all requests falls due during the second of the stall, and at least half of these are
    // more than 500 ms late. The nodes have capacity again at once; estimates that took seconds to forget
    // the stall raised the figure to 0.16 of all.
    double late = 1 - result.all().latency().getPercentileAtOrBelowValue(500_000) / 100;
    double refused = (double) result.all().count(RequestRecord.Answer.REFUSED) / result.all().asked();
    assertTrue(late + refused > 0.045 && late + refused < 0.11, late + " late, " + refused + " refused");
  }

  @Test
  void everyKindOfDisturbanceKeepsTheRules() {
    StringBuilder all = new StringBuilder();
    double at = 1;
    for (String kind : new java.util.TreeSet<>(Scenario.KINDS)) {
      all.append("at ")
          .append(at)
          .append(' ')
          .append(kind)
          .append(
              Scenario.LOAD_KINDS.contains(kind)
                  ? " target orders for 1 size 3\n"
                  : " part 0.5 for 1 size 0.3\n");
      at += 0.7;
    }
    EmulationResult result = Emulation.play(scenario("20", 5, all.toString()));
    assertTrue(result.audit().kept(), () -> result.audit().breaches().toString());
    assertTrue(result.audit().checked().values().stream().filter(n -> n > 0).count() >= 6, () -> result
        .audit()
        .checked()
        .toString());
  }

  /** Messages sent during a partition arrive after it; requests made in the meantime must still be answered
   * in time. */
  @Test
  void partitionBreaksNoRule() {
    EmulationResult result = Emulation.play(scenario("12", 2, "at 3 partition part 1 size 1 for 4"));
    assertTrue(result.audit().kept(), () -> result.audit().breaches().toString());
    assertTrue(result.all().count(RequestRecord.Answer.SERVED) > result.all().asked() / 2);
    assertTrue(result.all().count(RequestRecord.Answer.SERVED) < result.all().asked());
  }

  /** Found by the scenario search: a killed gateway had sent a write and the answer was lost; the next
   * gateway process refused the write as safe to retry. */
  @Test
  void writeThatAKilledGatewayMayHaveExecutedIsNotRefused() {
    EmulationResult result = Emulation.play(scenario("10", 17, "at 3.6 answer-lost for 2.6 part 0.9 size 0.7",
        "at 6 gateway-crash for 1.5", "at 7.4 preempt for 2 part 1"));
    assertTrue(result.audit().kept(), () -> result.audit().breaches().toString());
    assertTrue(result.all().count(RequestRecord.Answer.FAILED) > 0);
  }

  /** Found by the scenario search: requests that had waited for seconds in the admission queue earned retries
   * when they were admitted, in a window in which they had not been taken. */
  @Test
  void requestsFromTheAdmissionQueueEarnNoRetries() {
    EmulationResult result = Emulation.play(Scenario.parse(
        """
            day 20.0
            seed 814606828664
            gateways 5
            lanes 1
            nodes count 7 cores 4 queue 64 base-us 1000 net-us 40 engine-us 9.0
            plan gold rate 400.0 reserve 200.0 weight 4.0
            plan plain limit 300.0 limit-burst 60.0 limit-slack 16.0 rate 200.0 reserve 50.0 weight 1.0
            volume orders plan gold size-mib 24 rate 300.0 reads 0.6 most-blocks 4 depth 64 clients 1 shape poisson period 0.0 swing 0.0 hosts 0 spread 0 first 0
            volume returns plan plain size-mib 24 rate 100.0 reads 0.5 most-blocks 2 depth 64 clients 1 shape poisson period 0.0 swing 0.0 hosts 0 spread 0 first 0
            volume scans plan plain size-mib 24 rate 40.0 reads 0.95 most-blocks 64 depth 16 clients 1 shape onoff period 4.0 swing 0.0 hosts 0 spread 0 first 0
            at 10.9 fast-errors for 6.6 part 1.0 size 0.6
            """));
    assertTrue(result.audit().kept(), () -> result.audit().breaches().toString());
  }
}
