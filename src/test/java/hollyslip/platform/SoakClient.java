package hollyslip.platform;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/** One client of a soak test: it sends requests on a persistent connection and disconnects in the ways that
 * real clients do. */
final class SoakClient implements Runnable {
  /** Longest timeout of a request, and the time within which an incomplete request must get an error or a
   * close, ms. */
  private static final int MAX_TIMEOUT_MS = 2_000, PARTIAL_REQUEST_MS = 3_000;

  private static final int MAX_PIPELINED_REQUESTS = 40;

  /** Requests that a client sends before it leaves, and how long it stays meanwhile, ms. */
  private static final int MAX_REQUESTS_LEFT_BEHIND = 6_000, MAX_STAY_MS = 400;

  private final SchedulerProcessFixture fixture;
  private final SoakAudit audit;
  private final SplittableRandom random;
  private final BooleanSupplier keepRunning, mayConnect;
  private final String name;
  private int requestCount;
  private Socket socket;

  SoakClient(SchedulerProcessFixture fixture, SoakAudit audit, String name, long seed,
      BooleanSupplier keepRunning,
      BooleanSupplier mayConnect) {
    this.fixture = fixture;
    this.audit = audit;
    this.name = name;
    random = new SplittableRandom(seed);
    this.keepRunning = keepRunning;
    this.mayConnect = mayConnect;
  }

  @Override
  public void run() {
    try {
      while (keepRunning.getAsBoolean()) {
        try {
          runRandomAction();
        } catch (IOException ended) {
          // The process or this connection has ended: the next iteration connects again.
          closeConnection();
          Thread.sleep(5);
        }
      }
      closeConnection();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void runRandomAction() throws IOException, InterruptedException {
    if (socket == null) {
      connect();
    }
    int kind = random.nextInt(100);
    if (kind < 60) {
      pipeline(1);
    } else if (kind < 70) {
      pipeline(2 + random.nextInt(MAX_PIPELINED_REQUESTS));
    } else if (kind < 80) {
      sendAndDisconnect();
    } else if (kind < 82) {
      leaveBehindMuchInput();
    } else if (kind < 84) {
      leaveAndComeAgain();
    } else if (kind < 90) {
      sendInTwoWrites();
    } else if (kind < 93) {
      sendIncompleteRequest();
    } else if (kind < 95) {
      sendNearTheIdleTimeout();
    } else {
      Thread.sleep(random.nextInt(50));
    }
  }

  private void connect() throws IOException {
    if (!mayConnect.getAsBoolean()) {
      throw new IOException("new connections go to another scheduler now");
    }
    socket = fixture.connect();
  }

  private String newRequest(List<String> ids) {
    String id = name + "-" + requestCount++;
    ids.add(id);
    int timeoutMs = 100 + random.nextInt(MAX_TIMEOUT_MS - 100);
    int shard = random.nextInt(SchedulerProcessFixture.SOAK_SHARDS);
    boolean isWrite = random.nextInt(4) == 0;
    audit.sending(id, timeoutMs, !isWrite);
    return isWrite
        ? SchedulerFixture.writeRequest("pay", id, null, "x".repeat(random.nextInt(3_000)))
            .replace("20000000u", timeoutMs + "m")
            .replace("shard=0", "shard=" + shard)
        : SchedulerFixture.readRequest(id, shard).replace("20000m", timeoutMs + "m");
  }

  private void send(String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  private void pipeline(int count) throws IOException, InterruptedException {
    List<String> ids = new ArrayList<>();
    StringBuilder bytes = new StringBuilder();
    for (int i = 0; i < count; i++) {
      bytes.append(newRequest(ids));
    }
    sendAndAwaitResponses(ids, bytes.toString());
  }

  /** Sends requests in one write; a client that cannot write learns that they were not read. */
  private void sendRequests(List<String> ids, String bytes) throws IOException {
    try {
      send(bytes);
      ids.forEach(audit::sent);
    } catch (IOException reset) {
      ids.forEach(audit::notRead);
      throw reset;
    }
  }

  private void sendAndAwaitResponses(List<String> ids, String bytes) throws IOException,
      InterruptedException {
    sendRequests(ids, bytes);
    awaitResponses(ids);
  }

  private void awaitResponses(List<String> ids) throws IOException, InterruptedException {
    socket.setSoTimeout(MAX_TIMEOUT_MS + 3 * (int) SoakAudit.RESPONSE_SLACK_MS);
    for (int i = 0; i < ids.size(); i++) {
      String response = readResponse();
      if (response == null) {
        boolean isReset = isResetByPeer();
        List<String> unanswered = ids.subList(i, ids.size());
        unanswered.forEach(isReset ? audit::notRead : audit::closedWithoutResponse);
        closeConnection();
        return;
      }
      audit.responseReceived(ids.get(i), response);
      if (response.contains("\r\nConnection: close\r\n") && i == ids.size() - 1) {
        closeConnection();
      }
    }
  }

  /** Reads the next response; null if the connection ended before it. */
  private String readResponse() throws IOException {
    try {
      String head = ScriptedServer.readHead(socket.getInputStream());
      if (head == null) {
        return null;
      }
      int length = Integer.parseInt(new ScriptedServer.ReceivedRequest(socket, head, "").header(
          "Content-Length"));
      byte[] body = socket.getInputStream().readNBytes(length);
      if (body.length < length) {
        audit.addViolation("incomplete response: " + head);
      }
      return head + new String(body, StandardCharsets.ISO_8859_1);
    } catch (SocketTimeoutException silent) {
      audit.addViolation("neither a response nor a close, client " + name + " request " + requestCount);
      return null;
    } catch (SocketException reset) {
      return null;
    }
  }

  /** Whether the scheduler has reset this connection, as a close with unread bytes does. */
  private boolean isResetByPeer() throws InterruptedException {
    for (int i = 0; i < 40; i++) {
      try {
        send("\r\n");
        Thread.sleep(5);
      } catch (IOException brokenPipe) {
        return true;
      }
    }
    return false;
  }

  private void sendAndDisconnect() throws IOException, InterruptedException {
    List<String> ids = new ArrayList<>();
    String bytes = newRequest(ids);
    sendRequests(ids, bytes);
    Thread.sleep(random.nextInt(4) == 0 ? random.nextInt(300) : 0);
    audit.disconnecting(ids.get(0));
    if (random.nextBoolean()) {
      socket.setSoLinger(true, 0);
    }
    closeConnection();
  }

  /** Leaves with much more sent behind a request than is read at once. */
  private void leaveBehindMuchInput() throws IOException, InterruptedException {
    List<String> ids = new ArrayList<>();
    StringBuilder bytes = new StringBuilder();
    int count = 1 + random.nextInt(MAX_REQUESTS_LEFT_BEHIND);
    for (int i = 0; i < count; i++) {
      bytes.append(newRequest(ids));
    }
    sendRequests(ids, bytes.toString());
    Thread.sleep(random.nextInt(MAX_STAY_MS));
    ids.forEach(audit::disconnecting);
    if (random.nextBoolean()) {
      socket.shutdownOutput();
      socket.setSoTimeout(MAX_STAY_MS);
      readUntilClosed();
    }
    closeConnection();
  }

  private void readUntilClosed() {
    try {
      while (socket.getInputStream().read() >= 0) {
        // What comes after the client has left is of no interest.
      }
    } catch (IOException ended) {
      // A reset, or nothing in time.
    }
  }

  /** Leaves while its request is open, and sends the same id on another connection. */
  private void leaveAndComeAgain() throws IOException, InterruptedException {
    List<String> ids = new ArrayList<>();
    String bytes = newRequest(ids);
    sendRequests(ids, bytes);
    Thread.sleep(random.nextInt(MAX_STAY_MS));
    audit.disconnecting(ids.get(0));
    closeConnection();
    Thread.sleep(random.nextInt(MAX_STAY_MS));
    connect();
    audit.sendingAgain(ids.get(0));
    sendAndAwaitResponses(ids, bytes);
  }

  private void sendInTwoWrites() throws IOException, InterruptedException {
    List<String> ids = new ArrayList<>();
    String bytes = newRequest(ids);
    int split = 1 + random.nextInt(bytes.length() - 1);
    try {
      send(bytes.substring(0, split));
      Thread.sleep(random.nextInt(100));
    } catch (IOException reset) {
      ids.forEach(audit::notRead);
      throw reset;
    }
    sendAndAwaitResponses(ids, bytes.substring(split));
  }

  /** Sends an incomplete request, in half of the cases after a complete one; the incomplete one must get an
   * error or a close. */
  private void sendIncompleteRequest() throws IOException, InterruptedException {
    List<String> ids = new ArrayList<>();
    String completeRequest = random.nextBoolean() ? newRequest(ids) : "";
    String incompleteRequest = SchedulerFixture.readRequest(name + "-part");
    sendAndAwaitResponses(ids, completeRequest
        + incompleteRequest.substring(0, 1 + random.nextInt(incompleteRequest.length() - 1)));
    if (socket == null) {
      return;
    }
    socket.setSoTimeout(PARTIAL_REQUEST_MS + (int) SoakAudit.RESPONSE_SLACK_MS);
    long start = SoakAudit.nowMs();
    readResponse();
    long took = SoakAudit.nowMs() - start;
    if (took > PARTIAL_REQUEST_MS) {
      audit.addTimingViolation("an incomplete request had no error and no close in ms: " + took,
          took - PARTIAL_REQUEST_MS, start);
    }
    closeConnection();
  }

  /** Sends a request at about 2.5 s, when the scheduler closes a connection without requests. */
  private void sendNearTheIdleTimeout() throws IOException, InterruptedException {
    closeConnection();
    connect();
    Thread.sleep(2_400 + random.nextInt(300));
    pipeline(1);
  }

  private void closeConnection() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException gone) {
        // Nothing to do: the connection has ended.
      }
      socket = null;
    }
  }
}
