package hollyslip.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A scheduler in this process between scripted servers: shard 0 at {@link #diskServer}, the node list at
 * {@link #discovery}. */
final class SchedulerFixture implements AutoCloseable {
  static final String SETTINGS = """
      {"az":"a","balancers":1,"myNumber":0,"tick":0.002,"classes":[
       {"name":"get","effect":"pure","group":"all","window":5,"aim":10,"giveUp":20,"points":1,"lateValue":0.2},
       {"name":"put","effect":"token","group":"cell","window":20,"aim":10,"giveUp":20,"points":1},
       {"name":"pay","effect":"side_effect","group":"cell","window":20,"aim":10,"giveUp":20,"points":1},
       {"name":"move","effect":"token","group":"cell","window":20,"aim":10,"giveUp":20,"points":1,"byArrival":true}],
       "policies":[{"name":"gold","nominal":1000,"guaranteed":500,"proportion":1,"price":1}],
       "policyLimits":{"maxAttempts":3,"probes":true,"retryAfter":true,"maxRetryAfter":2,"dialTimeout":5,"idleClose":60},
       "rules":{"graceToAnswer":0.008,"drainGrace":1,"coldFrom":0.5,"cold":1,"fallMultiple":3,"fall":1},
       "extra":{"unitMean":2,"mostUnits":6,"nShards":3,"changesData":[false,true,true,true]},
       "stats":{"how":"answers","names":["recent_ms"]}}""";

  private static final int FREE_SOCKETS = 200, DEFAULT_MEMORY_MB = 192;

  final ScriptedServer diskServer = new ScriptedServer(), discovery = new ScriptedServer();
  final Path configFile;
  final SchedulerProcess node;
  final ByteArrayOutputStream log = new ByteArrayOutputStream();
  private final int memoryMb;

  /** The scheduler waits for the discovery of a test for as long as the test may take on a busy machine. */
  SchedulerFixture() throws IOException, InterruptedException {
    this(DEFAULT_MEMORY_MB);
  }

  /** With a limit of memory, from which the limits of buffered bytes follow. */
  SchedulerFixture(int memoryMb) throws IOException, InterruptedException {
    this(memoryMb, new WatchRetryPolicy(WatchRetryPolicy.SILENCE_TIMEOUT_US, 20_000_000));
  }

  SchedulerFixture(WatchRetryPolicy times) throws IOException, InterruptedException {
    this(DEFAULT_MEMORY_MB, times);
  }

  private SchedulerFixture(int memoryMb, WatchRetryPolicy times) throws IOException, InterruptedException {
    this.memoryMb = memoryMb;
    configFile = Files.createTempFile("platform", ".json");
    writeConfig(discovery);
    node = new SchedulerProcess(Map.of("PROXY_CONFIG", configFile.toString()), new PrintStream(log, true),
        times);
  }

  void writeConfig(ScriptedServer discoveryServer) throws IOException {
    // In addition to what other tests of this JVM still hold open, so that the limits do not depend on them.
    int sockets = Bounds.openDescriptors() + FREE_SOCKETS;
    Files.writeString(configFile, "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
        + discoveryServer.address()
        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
        + ",\"sockets\":"
        + sockets + "},"
        + "\"known\":" + nodeListJson(41, true, nodeEntryJson("s-0", diskServer, 0, "up")) + ",\"settings\":"
        + SETTINGS + "}");
  }

  static String nodeEntryJson(String host, ScriptedServer server, int shard, String health) {
    return "{\"host\":\"" + host + "\",\"dial\":\"" + server.address()
        + "\",\"site\":\"a\",\"class\":\"m\",\"block\":"
        + shard + ",\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
  }

  static String nodeListJson(long seq, boolean whole, String... entries) {
    return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", entries) + "]}";
  }

  /** The response head of a watch. */
  static final String WATCH_RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  static String httpChunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Blocks the event loop until the result is closed: all that arrives meanwhile is processed in one
   * iteration. */
  AutoCloseable blockEventLoop() {
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch blocked = new CountDownLatch(1);
    node.loop().execute(() -> {
      blocked.countDown();
      try {
        release.await(20, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    try {
      blocked.await(20, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return release::countDown;
  }

  /** From now on, the disk server responds to each request with the id of the request. */
  void startEcho() {
    diskServer.startEcho();
  }

  Client client() throws IOException {
    return new Client(node.listenAddress());
  }

  /** A read request for shard 0. */
  static String readRequest(String id) {
    return readRequest(id, 0);
  }

  static String readRequest(String id, int shard) {
    return "GET /get/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Txn: " + id
        + "\r\nX-Plan: gold\r\nX-Remaining: 20000m\r\nX-IO: volume=00000003b4d60021,units=2,shard=" + shard
        + ",hosts=1\r\n\r\n";
  }

  /** A write request; without an idempotency key if {@code key} is null. */
  static String writeRequest(String className, String id, String key, String body) {
    return "PUT /" + className + "/00/7f3a9c21e0b4d655?a=%20b HTTP/1.1\r\nHost: service.internal\r\nX-Txn: "
        + id + "\r\nX-Plan: gold\r\nX-Remaining: 20000000u\r\n" + (key == null
            ? ""
            : "Idempotency-Key: "
                + key + "\r\n")
        + "X-IO: volume=00000003b4d60021,units=1.5,shard=0,hosts=1\r\nContent-Length: "
        + body.length() + "\r\n\r\n" + body;
  }

  /** A client connection. */
  static final class Client implements AutoCloseable {
    final Socket socket;

    Client(InetSocketAddress address) throws IOException {
      socket = new Socket(address.getAddress(), address.getPort());
      socket.setSoTimeout(20_000);
    }

    Client send(String bytes) throws IOException {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      return this;
    }

    /** Reads the next response, head and body; "closed" if the connection has ended. */
    String readResponse() throws IOException {
      InputStream in = socket.getInputStream();
      try {
        String head = ScriptedServer.readHead(in);
        if (head == null) {
          return "closed";
        }
        String length = new ScriptedServer.ReceivedRequest(socket, head, "").header("Content-Length");
        return head + new String(in.readNBytes(Integer.parseInt(length)), StandardCharsets.ISO_8859_1);
      } catch (java.net.SocketException reset) {
        return "closed";
      }
    }

    /** Resets the connection. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    int readStatus() throws IOException {
      String response = readResponse();
      return response.equals("closed") ? 0 : Integer.parseInt(response.substring(9, 12));
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    node.close();
    diskServer.close();
    discovery.close();
    Files.delete(configFile);
  }
}
