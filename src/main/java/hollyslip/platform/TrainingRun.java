package hollyslip.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** One scheduler against a peer of its own on loopback, for some hundred requests: what the build runs once,
 * so that the classes of a start can be kept in an archive (docs/platform.md). It measures nothing and proves
 * nothing. */
final class TrainingRun {
  private static final int REQUESTS = 400;
  private static final String SETTINGS = """
      {"az":"a","balancers":1,"myNumber":0,"tick":0.002,"classes":[
       {"name":"get","effect":"pure","group":"all","window":5,"aim":0.3,"giveUp":2,"points":1,"lateValue":0.2},
       {"name":"put","effect":"token","group":"cell","window":2.5,"aim":0.5,"giveUp":2,"points":1}],
       "policies":[{"name":"p","nominal":1000,"guaranteed":500,"proportion":1,"price":1,"cap":100000,"capDepth":9000}],
       "policyLimits":{"maxAttempts":3,"probes":true,"retryAfter":true,"dialTimeout":0.25,"idleClose":15},
       "rules":{"graceToAnswer":0.008,"drainGrace":1,"coldFrom":0.5,"cold":1,"fallMultiple":3,"fall":1},
       "extra":{"unitMean":2,"mostUnits":6,"nShards":1,"changesData":[false,true]},
       "stats":{"how":"answers","names":["recent_ms"]}}""";

  private TrainingRun() {}

  static void run() throws IOException, InterruptedException {
    Path file = Files.createTempFile("rehearsal", ".json");
    try (ServerSocket peer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Thread answers = new Thread(() -> acceptConnections(peer), "peer");
      answers.setDaemon(true);
      answers.start();
      String at = "127.0.0.1:" + peer.getLocalPort();
      ObjectMapper json = new ObjectMapper();
      ObjectNode c = json.createObjectNode()
          .put("name", "rehearsal")
          .put("listen", "127.0.0.1:0")
          .put("discovery", at)
          .put("seed", "5");
      c.set("known", json.readTree(endpointList(1, at)));
      c.set("settings", json.readTree(SETTINGS));
      Files.writeString(file, c.toString());
      Node node = new Node(Map.of("PROXY_CONFIG", file.toString()), new PrintStream(OutputStream
          .nullOutputStream()));
      sendRequests(node.listening());
      node.reload();
      node.stop();
      node.awaitEnd(5000);
      node.close();
    } finally {
      Files.delete(file);
    }
  }

  private static String endpointList(int seq, String at) {
    return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[{\"host\":\"h\",\"dial\":\"" + at
        + "\",\"site\":\"a\",\"block\":0,\"health\":\"up\",\"share\":1.0,\"born_ms\":0}]}";
  }

  private static void sendRequests(InetSocketAddress at) throws IOException {
    try (Socket s = new Socket(at.getAddress(), at.getPort())) {
      for (int i = 0; i < REQUESTS; i++) {
        String method = i % 3 == 0 ? "PUT /put/" : "GET /get/";
        String body = i % 3 == 0 ? "body" : "";
        String head = method + String.format("%016x", i) + " HTTP/1.1\r\nHost: x\r\nX-Txn: t" + i
            + "\r\nX-Plan: p\r\nX-Remaining: 2000m\r\nIdempotency-Key: k" + i
            + "\r\nX-IO: volume=0000000000000001,units=1,shard=0,hosts=1\r\nContent-Length: " + body.length()
            + "\r\n\r\n" + body;
        s.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        s.getInputStream().read(new byte[4096]);
      }
      s.getOutputStream().write("GET /ready HTTP/1.1\r\n folded\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      s.getInputStream().read(new byte[4096]);
    }
  }

  private static void acceptConnections(ServerSocket peer) {
    try {
      while (true) {
        Socket s = peer.accept();
        Thread t = new Thread(() -> serve(s, peer.getLocalPort()), "peer");
        t.setDaemon(true);
        t.start();
      }
    } catch (IOException over) {
      // It was closed: the rehearsal has ended.
    }
  }

  /** Discovery and disk server in one: whatever is asked whole is answered. */
  private static void serve(Socket s, int port) {
    try (s) {
      InputStream in = s.getInputStream();
      byte[] bytes = new byte[4096];
      for (int n = in.read(bytes); n > 0; n = in.read(bytes)) {
        boolean watch = new String(bytes, 0, n, StandardCharsets.US_ASCII).startsWith("GET /v1/endpoints");
        String line = endpointList(2, "127.0.0.1:" + port) + "\n";
        String answer = watch
            ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length())
                + "\r\n" + line + "\r\n"
            : "HTTP/1.1 200 OK\r\nX-Pressure: latency_ms=3\r\nContent-Length: 4\r\n\r\ndata";
        s.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException over) {
      // The scheduler closed it.
    }
  }
}
