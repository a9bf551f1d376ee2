package hollyslip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The simulator adapter, driven by transcripts of its protocol. */
class SimulatorAdapterTest {
  private static final String CONFIGURATION = "{'balancers':2,'myNumber':0,'az':'x','tick':0.002,'newKey':{'a':1},"
      + "'classes':[{'name':'get','effect':'pure','group':'all','window':5,'aim':0.25,'giveUp':2,'points':1}],"
      + "'policies':[{'name':'p','nominal':4,'guaranteed':2,'proportion':1,'price':1,'cap':0}],"
      + "'policyLimits':{'maxAttempts':3},'rules':{'graceToAnswer':0.008,'drainGrace':1},"
      + "'extra':{'unitMean':2,'mostUnits':6},'stats':{'how':'none','names':[]}}";

  private record Run(int status, String out, String err) {}

  private static Run serve(String... lines) throws Exception {
    String in = String.join("\n", lines).replace('\'', '"') + "\n";
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int status = SimulatorAdapter.serve(TokenBorrowingScheduler::new, new ByteArrayInputStream(in.getBytes(
        StandardCharsets.UTF_8)),
        out, new PrintStream(err, true));
    return new Run(status, out.toString(StandardCharsets.UTF_8), err.toString());
  }

  private static String launch(String name) {
    return "{'m':'LAUNCH','i':'" + name + "','nonce64':5,'conf':" + CONFIGURATION + "}";
  }

  private static String nodeListPage(int slot, long server) {
    return "{'m':'PAGE','slot':" + slot + ",'entries':[{'server':" + server
        + ",'regionPart':'x','flavor':'f','cluster':0,'mode':'on','units':1,'born':null}]}";
  }

  private static String nodeListNotice(String name, int slot) {
    return "{'m':'PEERS_KNOWN','i':'" + name + "','epoch':1,'mode':'stale_copy','slot':" + slot + "}";
  }

  private static String requestArrival(String name, long id) {
    return "{'m':'INGRESS','i':'" + name + "','opId':" + id
        + ",'type':'get','plan':'p','blockKey':1,'remaining':2,"
        + "'storeUser':3,'sizeUnits':2,'liesIn':0,'nHosts':1,'againByClient':false,'isWrite':false,'extra':null}";
  }

  private static final String MARK = "{'m':'MARK','simTime':8.5,'serial':4}";
  private static final String TURN = "{'m':'YOUR_TURN'}";

  @Test
  void anEmptyBatchIsAcknowledged() throws Exception {
    assertEquals(new Run(0, "{\"m\":\"OK\",\"serial\":4}\n", ""), serve(MARK, TURN));
  }

  @Test
  void aSlotIsResolvedInEventOrder() throws Exception {
    Run result = serve(MARK, launch("s/0"), nodeListPage(0, 11), nodeListNotice("s/0", 0),
        nodeListPage(0, 12), launch("s/1"), nodeListNotice("s/1", 0), requestArrival("s/0", 1),
        requestArrival("s/1", 2), TURN);
    assertTrue(result.out.contains("{\"m\":\"RELAY\",\"i\":\"s/0\",\"opId\":1,\"server\":11"), result.out);
    assertTrue(result.out.contains("{\"m\":\"RELAY\",\"i\":\"s/1\",\"opId\":2,\"server\":12"), result.out);
  }

  @Test
  void instancesBehaveTheSameInOneProcessAndInTwo() throws Exception {
    Run both = serve(MARK, launch("s/0"), launch("s/1"), nodeListPage(0, 11), nodeListNotice("s/0", 0),
        nodeListNotice("s/1", 0), requestArrival("s/0", 1), requestArrival("s/1", 2), TURN);
    for (String name : List.of("s/0", "s/1")) {
      Run alone = serve(MARK, launch(name), nodeListPage(0, 11), nodeListNotice(name, 0),
          requestArrival(name, name.endsWith("0") ? 1 : 2), TURN);
      List<String> linesOfBoth = both.out.lines().filter(l -> l.contains(name)).toList();
      assertEquals(linesOfBoth, alone.out.lines().filter(l -> l.contains(name)).toList());
    }
  }

  @Test
  void aStoppedInstanceProducesNoActions() throws Exception {
    Run result = serve(MARK, launch("s/0"), nodeListPage(0, 11), nodeListNotice("s/0", 0),
        "{'m':'POWER_OFF','i':'s/0'}", requestArrival("s/0", 1), TURN);
    assertTrue(!result.out.contains("RELAY"), result.out);
  }

  @Test
  void invalidInputEndsWithAOneLineError() throws Exception {
    for (String bad : List.of("not json", "[1]", "{'m':'INGRESS','i':'s/0'}", "{'m':'WHAT','i':'s/0'}")) {
      Run result = serve(MARK, launch("s/0"), bad);
      assertEquals(1, result.status);
      assertTrue(result.err.startsWith("line 3: expected "), result.err);
      assertEquals(1, result.err.lines().count());
    }
    assertEquals(1, serve(requestArrival("s/0", 1)).status);
  }

  @Test
  void invalidSettingsAreReportedAsAFault() throws Exception {
    Run result = serve(MARK, launch("s/0").replace("'nominal':4", "'nominal':-4"), TURN);
    assertTrue(result.out.contains("\"FAULT\"") && result.out.contains("plan.rate"), result.out);
  }
}
