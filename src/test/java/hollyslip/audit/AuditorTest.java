package hollyslip.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.HostScheduler.NodeState;
import hollyslip.audit.Auditor.Rule;
import hollyslip.node.Nbd;
import hollyslip.standin.CommandRecord;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A run that keeps the rules passes; a violation of one rule is reported for that rule only. */
class AuditorTest {
  private static final AuditParameters FIGURES = new AuditParameters(8_000, 1_000_000, 300_000, 20, 0.5,
      5_000_000, 2_000_000,
      2, 0.1, 5_000_000, 0, 1 << 20, 4096, 16, Map.of("v", new AuditParameters.Limit(100, 20, 2)),
      List.of(new AuditParameters.Area("v", "shard-0", 0, 1 << 20)));
  private final List<RequestRecord> requests = new ArrayList<>();
  private final List<CommandRecord> commands = new ArrayList<>();
  private final List<OperatorEvent> operatorEvents = new ArrayList<>();

  @BeforeEach
  void recordGoodRun() {
    operatorEvents.add(new OperatorEvent.GatewayStart("g", 0));
    operatorEvents.add(new OperatorEvent.NodeStart("n", 9_000_000));
    operatorEvents.add(new OperatorEvent.NodeStateChange("g", "n", NodeState.DRAINING, 30_000_000));
    for (int i = 0; i < 40; i++) {
      long at = 100_000L * (i + 1);
      addRequest(i, at, at + 10_000, RequestRecord.Answer.SERVED, i % 4);
      addCommand(i, at + 5_000, at + 6_000);
    }
    addRequest(90, 10_000_000, 10_010_000, RequestRecord.Answer.SERVED, -1);
    addCommand(90, 10_005_000, 10_006_000);
  }

  private void addRequest(long id, long at, long answered, RequestRecord.Answer answer, long key) {
    requests.add(new RequestRecord("c", "g", "v", id, Nbd.CMD_WRITE, 4096 * id, 4096, 1, key, 1000 + id, at,
        at
            + 2_000_000, 1, answered, answer, false));
  }

  private void addCommand(long id, long received, long done) {
    addCommand(id, received, done, 0, CommandRecord.Result.DONE);
  }

  private void addCommand(long id, long received, long done, int attempt, CommandRecord.Result result) {
    commands.add(new CommandRecord("n", 1, "g/1", 1, id << 12 | attempt, "shard-0", Nbd.CMD_WRITE, 4096 * id,
        4096,
        received, done, 1000 + id, result));
  }

  private Auditor.Report check() {
    return Auditor.check(FIGURES, requests, commands, operatorEvents);
  }

  private void assertOnly(Rule rule) {
    Auditor.Report report = check();
    assertTrue(!report.breaches().isEmpty() && report.breaches().stream().allMatch(b -> b.rule() == rule),
        report.breaches()
            .toString());
  }

  private void replaceRequest(int index, RequestRecord request) {
    requests.set(index, request);
  }

  private static RequestRecord withAnswer(RequestRecord request, int answers, long answered,
      RequestRecord.Answer answer) {
    return new RequestRecord(request.client(), request.gateway(), request.volume(), request.id(), request
        .kind(),
        request.offset(), request.length(), request.units(),
        request.key(), request.checksum(), request.askedUs(), request.deadlineUs(), answers, answered, answer,
        request.left());
  }

  @Test
  void runThatKeepsTheRulesPasses() {
    Auditor.Report report = check();
    assertEquals(List.of(), report.breaches());
    assertEquals(0, report.checked().get(Rule.DRAINS_KEPT));
    assertEquals(41, report.checked().get(Rule.ONE_ANSWER));
  }

  @Test
  void findsDuplicateMissingAndLateAnswers() {
    RequestRecord good = requests.get(5);
    for (RequestRecord bad : List.of(withAnswer(good, 2, good.answeredUs(), good.answer()), withAnswer(good,
        0, 0,
        RequestRecord.Answer.NONE), withAnswer(good,
            1, good.deadlineUs() + 8_001, good.answer()))) {
      replaceRequest(5, bad);
      assertOnly(Rule.ONE_ANSWER);
    }
  }

  @Test
  void findsDuplicateEffectAndRefusalWithEffect() {
    addCommand(5, 900_000, 901_000, 0, CommandRecord.Result.DONE);
    assertOnly(Rule.NO_EFFECT_TWICE);
    commands.remove(commands.size() - 1);
    replaceRequest(5, withAnswer(requests.get(5), 1, requests.get(5).answeredUs(),
        RequestRecord.Answer.REFUSED));
    assertOnly(Rule.NO_EFFECT_TWICE);
  }

  @Test
  void findsWriteThatTakesEffectAfterNewerOne() {
    // Request 5 failed at 610 ms; request 200 wrote to its blocks and was answered; then write 5 took effect.
    commands.removeIf(c -> c.cookie() >> 12 == 5);
    replaceRequest(5, withAnswer(requests.get(5), 1, 610_000, RequestRecord.Answer.FAILED));
    requests.add(new RequestRecord("c", "g", "v", 200, Nbd.CMD_WRITE, 4096 * 5, 4096, 1, -1, 7, 5_000_000,
        7_000_000,
        1,
        5_010_000, RequestRecord.Answer.SERVED, false));
    commands.add(new CommandRecord("n", 1, "g/1", 1, 200 << 12, "shard-0", Nbd.CMD_WRITE, 4096 * 5, 4096,
        5_001_000,
        5_002_000, 7, CommandRecord.Result.DONE));
    assertEquals(List.of(), check().breaches());
    commands.add(new CommandRecord("n", 1, "g/1", 1, 5 << 12, "shard-0", Nbd.CMD_WRITE, 4096 * 5, 4096,
        605_000,
        5_100_000, 1005, CommandRecord.Result.DONE));
    assertTrue(check().breaches()
        .stream()
        .anyMatch(b -> b.rule() == Rule.NO_EFFECT_TWICE && b.description().contains("newer write")), check()
            .breaches()
            .toString());
  }

  @Test
  void findsCommandSentToDrainingNode() {
    addRequest(95, 30_900_000, 31_100_000, RequestRecord.Answer.SERVED, -1);
    addCommand(95, 31_000_000, 31_000_100);
    assertEquals(List.of(), check().breaches());
    addRequest(96, 30_900_000, 31_100_000, RequestRecord.Answer.SERVED, -1);
    addCommand(96, 31_000_001, 31_000_100);
    assertOnly(Rule.DRAINS_KEPT);
  }

  @Test
  void findsOverloadOfColdNode() {
    for (int i = 100; i < 130; i++) {
      addRequest(i, 9_000_000 + (i - 99) * 50_000, 11_000_000, RequestRecord.Answer.SERVED, -1);
      addCommand(i, 9_001_000 + (i - 99) * 50_000, 10_999_000);
    }
    assertOnly(Rule.NO_COLD_NODE_PUSHED);
  }

  @Test
  void findsExceededLimit() {
    for (int i = 100; i < 125; i++) {
      addRequest(i, 20_000_000, 20_100_000, RequestRecord.Answer.SERVED, -1);
      addCommand(i, 20_001_000, 20_002_000);
    }
    assertOnly(Rule.LIMITS_KEPT);
  }

  @Test
  void findsKeyedRequestsOutOfOrder() {
    // Request 9 follows request 5 among the requests with key 1.
    commands.removeIf(c -> c.cookie() >> 12 == 9);
    addCommand(9, 605_500, 1_006_000);
    assertOnly(Rule.ORDER_KEPT);
  }

  @Test
  void findsExceededRetryBudget() {
    for (int attempt = 1; attempt < 8; attempt++) {
      addCommand(3, 405_000 + attempt, 0, attempt, CommandRecord.Result.FULL);
    }
    assertOnly(Rule.BUDGET_KEPT);
  }

  @Test
  void recordsAreReadBackFromDirectory(@TempDir Path dir) throws Exception {
    replaceRequest(5, withAnswer(requests.get(5), 2, 610_000, RequestRecord.Answer.SERVED));
    RunRecords.writeParameters(dir, FIGURES);
    RunRecords.writeRequests(dir, "c", requests);
    RunRecords.writeCommands(dir, "n", commands);
    RunRecords.writeOperatorEvents(dir, "op", operatorEvents);
    assertEquals(check().breaches(), RunRecords.audit(dir).breaches());
    assertEquals(1, check().breaches().size());
  }
}
