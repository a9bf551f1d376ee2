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

/** Runs a scheduler against a local stub for some hundred requests. The build does this once to archive the
 * classes that a start loads (docs/platform.md). It is neither a benchmark nor a test. */
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
    try (ServerSocket stub = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Thread acceptor = new Thread(() -> acceptConnections(stub), "peer");
      acceptor.setDaemon(true);
      acceptor.start();
      String address = "127.0.0.1:" + stub.getLocalPort();
      ObjectMapper json = new ObjectMapper();
      ObjectNode configuration = json.createObjectNode()
          .put("name", "rehearsal")
          .put("listen", "127.0.0.1:0")
          .put("discovery", address)
          .put("seed", "5");
      configuration.set("known", json.readTree(endpointList(1, address)));
      configuration.set("settings", json.readTree(SETTINGS));
      Files.writeString(file, configuration.toString());
      SchedulerProcess process = new SchedulerProcess(Map.of("PROXY_CONFIG", file.toString()),
          new PrintStream(
              OutputStream
                  .nullOutputStream()));
      sendRequests(process.listenAddress());
      process.reload();
      process.stop();
      process.awaitTermination(5000);
      process.close();
    } finally {
      Files.delete(file);
    }
  }

  private static String endpointList(int version, String address) {
    return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[{\"host\":\"h\",\"dial\":\"" + address
        + "\",\"site\":\"a\",\"block\":0,\"health\":\"up\",\"share\":1.0,\"born_ms\":0}]}";
  }

  private static void sendRequests(InetSocketAddress address) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      for (int i = 0; i < REQUESTS; i++) {
        String method = i % 3 == 0 ? "PUT /put/" : "GET /get/";
        String body = i % 3 == 0 ? "body" : "";
        String head = method + String.format("%016x", i) + " HTTP/1.1\r\nHost: x\r\nX-Txn: t" + i
            + "\r\nX-Plan: p\r\nX-Remaining: 2000m\r\nIdempotency-Key: k" + i
            + "\r\nX-IO: volume=0000000000000001,units=1,shard=0,hosts=1\r\nContent-Length: " + body.length()
            + "\r\n\r\n" + body;
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getInputStream().read(new byte[4096]);
      }
      socket.getOutputStream()
          .write("GET /ready HTTP/1.1\r\n folded\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      socket.getInputStream().read(new byte[4096]);
    }
  }

  private static void acceptConnections(ServerSocket stub) {
    try {
      while (true) {
        Socket socket = stub.accept();
        Thread thread = new Thread(() -> serve(socket, stub.getLocalPort()), "peer");
        thread.setDaemon(true);
        thread.start();
      }
    } catch (IOException closed) {
      // The server socket was closed: the training run has ended.
    }
  }

  /** Acts as discovery service and as disk server. */
  private static void serve(Socket socket, int port) {
    try (socket) {
      InputStream in = socket.getInputStream();
      byte[] bytes = new byte[4096];
      for (int n = in.read(bytes); n > 0; n = in.read(bytes)) {
        boolean watch = new String(bytes, 0, n, StandardCharsets.US_ASCII).startsWith("GET /v1/endpoints");
        String line = endpointList(2, "127.0.0.1:" + port) + "\n";
        String response = watch
            ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length())
                + "\r\n" + line + "\r\n"
            : "HTTP/1.1 200 OK\r\nX-Pressure: latency_ms=3\r\nContent-Length: 4\r\n\r\ndata";
        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException closed) {
      // The scheduler closed the connection.
    }
  }
}
