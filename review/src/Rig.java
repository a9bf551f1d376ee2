import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** What the cases share: the scheduler as a process of its own, and stand-ins for discovery, disk servers and
 * clients as the protocol page describes them. Loopback addresses only. */
final class Rig {
  private Rig() {}

  static final Path ROOT = Path.of(System.getProperty("root"));
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  private static final long START = System.nanoTime();
  private static PrintWriter record;

  static double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep(Math.max(0, Math.round(seconds * 1000)));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static void openRecord(Path file) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(file), true);
    note("trouble " + (TROUBLE ? "on" : "off"));
  }

  /** A line of record.txt, with the time since the start in seconds. */
  static void note(String text) {
    synchronized (Rig.class) {
      record.println(String.format(Locale.ROOT, "%9.4f %s", now(), text));
    }
  }

  static Thread daemon(String name, Task task) {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (IOException ended) {
        // The peer or the case ended this connection.
      }
    }, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  interface Task {
    void run() throws IOException;
  }

  static InetAddress loopback() {
    return InetAddress.getLoopbackAddress();
  }

  static ServerSocket listen(int backlog) throws IOException {
    return new ServerSocket(0, backlog, loopback());
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = listen(1)) {
      return socket.getLocalPort();
    }
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** A message read from a socket: head and body. */
  static final class Message {
    String start;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = {};
    double firstByteAt, lastByteAt;

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }
  }

  /** Reads one message with a Content-Length or without a body; null at the end of the connection. */
  static Message read(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    Message message = new Message();
    int matched = 0;
    while (matched < 4) {
      int b = in.read();
      if (b < 0) {
        if (head.size() == 0) {
          return null;
        }
        throw new EOFException("end within a head");
      }
      if (head.size() == 0) {
        message.firstByteAt = now();
      }
      head.write(b);
      matched = b == "\r\n\r\n".charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
    }
    String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
    message.start = lines[0];
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      message.headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1)
          .trim());
    }
    String length = message.header("Content-Length");
    if (length != null) {
      message.body = in.readNBytes(Integer.parseInt(length));
      if (message.body.length < Integer.parseInt(length)) {
        throw new EOFException("end within a body");
      }
    }
    message.lastByteAt = now();
    return message;
  }

  /** A disk server: serves the requests of its shard after a service time, and notes what came. */
  static final class DiskServer implements Closeable {
    final String host;
    final int shard;
    final ServerSocket listener = listen(200);
    /** Service time in seconds. */
    volatile double service = 0.02;
    volatile boolean hangs;
    final List<double[]> arrivals = new CopyOnWriteArrayList<>();
    final List<Message> received = new CopyOnWriteArrayList<>();
    final AtomicInteger served = new AtomicInteger();

    DiskServer(String host, int shard) throws IOException {
      this.host = host;
      this.shard = shard;
      daemon("disk server " + host, () -> {
        while (true) {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          daemon("connection of " + host, () -> serve(socket));
        }
      });
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serve(Socket socket) throws IOException {
      try (socket) {
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        while (true) {
          Message request = read(in);
          if (request == null) {
            return;
          }
          received.add(request);
          note("disk " + host + " got " + request.header("X-Txn") + " " + request.start);
          while (hangs) {
            sleep(0.02);
          }
          sleep(service);
          String body = "data of " + request.header("X-Txn") + " by " + host;
          served.incrementAndGet();
          write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }
      }
    }

    String entry(String health) {
      return "{\"host\":\"" + host + "\",\"dial\":\"" + address()
          + "\",\"site\":\"oranmore\",\"class\":\"small-2c\",\"block\":" + shard + ",\"health\":\"" + health
          + "\",\"share\":1.0,\"born_ms\":0}";
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  static String list(long seq, boolean whole, String... entries) {
    return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", entries) + "]}";
  }

  /** Discovery: keeps a list and its changes; a watch gets what changed after its index, then each change as
   * it comes, and an empty line every 2 s. */
  static final class Discovery implements Closeable {
    final ServerSocket listener = listen(200);
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private final List<Socket> watches = new CopyOnWriteArrayList<>();
    private long seq;
    /** Crowded: each object takes this long to be written, in pieces, s. */
    volatile double crowdedS;
    /** Time until the head of an answer is written, s. */
    volatile double headDelayS;

    Discovery(long seq) throws IOException {
      this.seq = seq;
      daemon("discovery", () -> {
        while (true) {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          daemon("watch", () -> serve(socket));
        }
      });
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    synchronized void put(DiskServer server, String health) {
      seq++;
      entries.put(server.host, server.entry(health));
      changedAt.put(server.host, seq);
      notifyAll();
    }

    /** One change: a disk server begins to drain, and its successor is up. */
    synchronized void put(DiskServer successor, DiskServer draining) {
      put(successor, "up");
      seq--;
      put(draining, "draining");
      changedAt.put(successor.host, seq);
    }

    synchronized String whole() {
      return list(seq, true, entries.values().toArray(new String[0]));
    }

    synchronized long seq() {
      return seq;
    }

    private synchronized String changesAfter(long index) {
      if (seq <= index) {
        return null;
      }
      List<String> changed = new ArrayList<>();
      entries.forEach((host, entry) -> {
        if (changedAt.get(host) > index) {
          changed.add(entry);
        }
      });
      return list(seq, false, changed.toArray(new String[0]));
    }

    private synchronized void awaitChange(long index, long ms) throws IOException {
      try {
        if (seq <= index) {
          wait(ms);
        }
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }

    /** Resets all open watches. */
    void resetWatches() throws IOException {
      for (Socket socket : watches) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
      watches.clear();
      note("discovery resets all open watches");
    }

    private static void chunk(Socket socket, String text) throws IOException {
      write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Writes one object, at once or in pieces over some seconds. */
    private static void writeObject(Socket socket, String line, double seconds) throws IOException {
      int pieces = seconds > 0 ? (int) Math.ceil(seconds / 0.1) : 1;
      double from = now();
      int written = 0;
      for (int i = 1; i <= pieces; i++) {
        if (seconds > 0) {
          sleep(from + seconds * i / pieces - now());
        }
        int to = (int) ((long) line.length() * i / pieces);
        if (to > written) {
          chunk(socket, line.substring(written, to));
          written = to;
        }
      }
    }

    private void serve(Socket socket) throws IOException {
      try (socket) {
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        Message request = read(in);
        if (request == null) {
          return;
        }
        note("discovery got " + request.start);
        watches.add(socket);
        int at = request.start.indexOf("index=");
        long index = at < 0 ? -1 : Long.parseLong(request.start.substring(at + 6).split("[ &]")[0]);
        double slow = crowdedS;
        sleep(headDelayS);
        write(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        String first;
        long sent;
        synchronized (this) {
          first = index < 0 ? whole() : changesAfter(index);
          sent = seq;
        }
        if (first != null) {
          writeObject(socket, first + "\n", slow);
          note("discovery has written list " + sent);
        }
        while (true) {
          awaitChange(sent, 2000);
          String change;
          synchronized (this) {
            change = changesAfter(sent);
            sent = seq;
          }
          if (change == null) {
            chunk(socket, "\n");
          } else {
            writeObject(socket, change + "\n", crowdedS);
            note("discovery has written list " + sent);
          }
        }
      } catch (IOException e) {
        note("discovery: a watch ended: " + e.getMessage());
        throw e;
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  /** Settings in the form of the wire page, with the figures of galway-counters for a few disk servers. */
  static String settings(int shards) {
    return """
        {"az":"oranmore","balancers":1,"myNumber":0,"tick":0.002,"dcs":["oranmore"],"models":["small-2c"],
         "classes":[
          {"name":"lookup","effect":"pure","group":"all","window":5.0,"aim":0.3,"giveUp":2.0,"points":2.0,
           "lateValue":0.15,"streaming":false},
          {"name":"new-record","effect":"token","group":"cell","window":2.5,"aim":0.5,"giveUp":2.5,"points":2.0,
           "lateValue":0.2,"streaming":false},
          {"name":"bulk-read","effect":"pure","group":"all","window":5.0,"aim":1.5,"giveUp":5.0,"points":1.0,
           "lateValue":0.3,"streaming":false}],
         "clients":{"marksRetry":false},"discovery":"pushed","family":"stores","layer":0,"layers":["counter-store"],
         "extra":{"changesData":[false,true,false],"coldBears":40.0,"fairWorth":0.4,"idleWorth":0.05,"meter":0.5,
          "mostUnits":8,"nShards":@SHARDS@,"tellsElsewhere":false,"unitMean":2.0},
         "goal":{"whole":0.6,"worstClass":0.1,"worstTenant":0.1,"worstWindow":0.2},
         "policies":[
          {"cap":0.0,"capDepth":0.0,"guaranteed":50.0,"limitSlack":0.0,"name":"branch","nominal":40.0,"price":1.2,
           "proportion":1.0}],
         "policyLimits":{"cancel":true,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"dialTimeout":0.25,"idleClose":15.0,
          "maxAttempts":4,"maxRetryAfter":2.0,"openCap":20000,"peers":false,"probes":true,"retryAfter":true,
          "secondCopies":true,"streamsPerConn":32},
         "prices":{"probe":0.01,"waste":0.05},
         "rules":{"askWithin":10.0,"cold":15.0,"coldFrom":0.19,"drainGrace":1.0,"fall":3.0,"fallMultiple":3.0,
          "graceToAnswer":0.008},
         "stats":{"how":"probe","names":["recent_ms"]},"weights":"none"}""".replace("@SHARDS@", "" + shards);
  }

  /** The scheduler, started by the run line of the deploy file. */
  static final class Scheduler implements Closeable {
    final int port = freePort();
    final Path dir = Files.createTempDirectory("scheduler");
    final Path config = dir.resolve("config.json");
    final List<String> log = new CopyOnWriteArrayList<>();
    Process process;
    private final String name;

    Scheduler(String name) throws IOException {
      this.name = name;
    }

    void writeConfig(String discovery, String known, String settings, int memoryMb, int sockets)
        throws IOException {
      String json = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
          + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":"
          + sockets + "},\"known\":" + known + ",\"settings\":" + settings + "}";
      Path next = dir.resolve("config.next");
      Files.writeString(next, json);
      Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING,
          java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    void start(String discovery) throws IOException {
      String run = null;
      for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
        if (line.startsWith("run = ")) {
          run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
      }
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(ROOT.toFile())
          .redirectErrorStream(true);
      Map<String, String> environment = builder.environment();
      environment.put("PROXY_NAME", name);
      environment.put("PROXY_LISTEN", "127.0.0.1:" + port);
      environment.put("PROXY_DISCOVERY", discovery);
      environment.put("PROXY_CONFIG", config.toString());
      environment.put("TMPDIR", dir.toString());
      process = builder.start();
      Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
      note("scheduler started, process " + process.pid());
      Process started = process;
      daemon("log", () -> {
        BufferedReader lines = new BufferedReader(new InputStreamReader(started.getInputStream()));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
          log.add(line);
          note("log " + line);
        }
      });
      daemon("exit", () -> {
        try {
          note("scheduler process ended with status " + started.waitFor());
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      });
    }

    /** Waits for 200 on GET /ready; false after 30 s. */
    boolean awaitReady() {
      double until = now() + 30;
      while (now() < until && process.isAlive()) {
        try (Socket socket = connect()) {
          socket.setSoTimeout(1000);
          write(socket, "GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n");
          Message answer = read(socket.getInputStream());
          if (answer != null && answer.start.startsWith("HTTP/1.1 200")) {
            note("scheduler ready");
            return true;
          }
        } catch (IOException notYet) {
          // Tried again.
        }
        sleep(0.05);
      }
      return false;
    }

    Socket connect() throws IOException {
      Socket socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(loopback(), port), 3000);
      return socket;
    }

    void signal(String signal) throws IOException {
      note("signal " + signal);
      try {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }

    @Override
    public void close() throws IOException {
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      }
      try (var files = Files.list(dir)) {
        for (Path file : files.toList()) {
          Files.deleteIfExists(file);
        }
      }
      Files.deleteIfExists(dir);
    }
  }

  private static final Random RANDOM = new Random(39);
  private static final AtomicInteger IDS = new AtomicInteger();

  static synchronized String newId() {
    return String.format("%08x%08x", IDS.incrementAndGet(), RANDOM.nextInt());
  }

  /** The head of a request as the protocol page shows it. */
  static String head(String type, String id, int shard, int remainingMs, int bodyLength) {
    boolean write = type.equals("new-record");
    String key = id;
    return (write ? "PUT" : "GET") + " /" + type + "/" + key + " HTTP/1.1\r\nHost: service.internal\r\nX-Txn: "
        + id + "\r\nX-Plan: branch\r\nX-Remaining: " + remainingMs + "m\r\n" + (write
            ? "Content-Length: " + bodyLength + "\r\nIdempotency-Key: k" + id + "\r\n"
            : "") + "X-IO: volume=00000003b4d6" + String.format("%04x", 1 + shard) + ",units=2,shard="
        + (write ? -1 : shard) + ",hosts=1\r\n\r\n";
  }

  /** How one request ended, as its client saw it. */
  static final class Result {
    String id, end;
    double sentAt, endedAt, remaining;
    int status;
  }

  /** Sends one request on a connection and waits for its answer until {@code patience} seconds after its
   * time. */
  static Result ask(Socket socket, String type, String id, int shard, int remainingMs, byte[] body, double patience)
      throws IOException {
    Result result = new Result();
    result.id = id;
    result.remaining = remainingMs / 1000.0;
    OutputStream out = socket.getOutputStream();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(head(type, id, shard, remainingMs, body.length).getBytes(StandardCharsets.ISO_8859_1));
    bytes.write(body);
    try {
      out.write(bytes.toByteArray());
      out.flush();
      result.sentAt = now();
      note("client sent " + id + " " + type + " remaining " + remainingMs + " ms from port " + socket.getLocalPort());
      socket.setSoTimeout((int) Math.max(1, 1000 * (result.remaining + patience)));
      Message answer = read(socket.getInputStream());
      result.endedAt = now();
      if (answer == null) {
        result.end = "closed";
      } else {
        result.status = Integer.parseInt(answer.start.split(" ")[1]);
        result.end = "answered " + result.status;
        if (result.status == 200 && !new String(answer.body, StandardCharsets.ISO_8859_1).startsWith("data of " + id
            + " by ")) {
          result.end = "foreign answer";
        }
      }
    } catch (SocketTimeoutException e) {
      result.endedAt = now();
      result.end = "no answer";
    } catch (IOException e) {
      result.endedAt = now();
      result.end = "reset: " + e.getMessage();
    }
    note(String.format(Locale.ROOT, "client %s: %s after %.3f s", id, result.end, result.endedAt - result.sentAt));
    return result;
  }
}
