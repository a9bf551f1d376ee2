import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;

/** Stand-ins for one scheduler of the platform: clients, disk servers and discovery, after PROTOCOL.md. */
final class Kit {
  static final Charset8 L1 = new Charset8();

  static final class Charset8 {
    byte[] bytes(String s) {
      return s.getBytes(StandardCharsets.ISO_8859_1);
    }

    String text(byte[] b) {
      return new String(b, StandardCharsets.ISO_8859_1);
    }
  }

  /** A case: returns 1 if the rule was broken, 0 if it held, 2 if it could not run. */
  interface Case {
    int run(Path root, Path folder, Record record, String[] args) throws Exception;
  }

  /** {@code CLASS ROOT FOLDER ARGUMENTS}: runs a case, which writes record.txt in its folder. */
  public static void main(String[] args) {
    int status = 2;
    try (Record record = new Record(Path.of(args[2]).resolve("record.txt"))) {
      record.line("%s %s, disruption %s", args[0], String.join(" ", List.of(args).subList(3, args.length)), trouble()
          ? "on"
          : "off");
      Case c = (Case) Class.forName(args[0]).getDeclaredConstructor().newInstance();
      status = c.run(Path.of(args[1]), Path.of(args[2]), record, Arrays.copyOfRange(args, 3, args.length));
      record.line(status == 1 ? "the rule was broken" : status == 0 ? "the rule held" : "the case could not run");
    } catch (Throwable e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  static final long T0 = System.nanoTime();

  static double now() {
    return (System.nanoTime() - T0) / 1e9;
  }

  static void sleep(double s) {
    try {
      if (s > 0) {
        Thread.sleep((long) (s * 1000), (int) (s * 1e9 % 1e6));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static Thread daemon(Runnable r) {
    Thread t = new Thread(null, r, "kit", 256 << 10);
    t.setDaemon(true);
    t.start();
    return t;
  }

  static int freePort() {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return s.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The record of a run: a line an event, with seconds since the start. */
  static final class Record implements Closeable {
    private final PrintWriter out;

    Record(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String format, Object... args) {
      out.printf(Locale.ROOT, "%8.3f %s%n", now(), String.format(Locale.ROOT, format, args));
      out.flush();
    }

    public synchronized void close() {
      out.close();
    }
  }

  /** One HTTP message: its first line, header fields in lower case, and its body. */
  static final class Message {
    String first;
    final Map<String, String> headers = new HashMap<>();
    byte[] body = {};

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream(64);
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        String s = L1.text(line.toByteArray());
        return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
      }
      line.write(b);
    }
    if (line.size() > 0) {
      throw new EOFException("end within a line");
    }
    return null;
  }

  /** Reads a message with a Content-Length; null at the end of the connection. */
  static Message read(InputStream in) throws IOException {
    Message m = new Message();
    m.first = readLine(in);
    if (m.first == null) {
      return null;
    }
    for (String l = readLine(in); ; l = readLine(in)) {
      if (l == null) {
        throw new EOFException("end within a head");
      }
      if (l.isEmpty()) {
        break;
      }
      int colon = l.indexOf(':');
      m.headers.put(l.substring(0, colon).trim().toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(m.headers.getOrDefault("content-length", "0"));
    m.body = in.readNBytes(length);
    if (m.body.length < length) {
      throw new EOFException("end within a body");
    }
    return m;
  }

  /** A disk server: one request at a time on a connection; what it does with a request is given. */
  static class Disk implements Closeable {
    interface Handler {
      /** Handles a request whose last byte has come; answers by itself. Returns whether to go on reading. */
      boolean handle(Disk disk, Socket socket, Message request) throws Exception;
    }

    final String host;
    final int block;
    final ServerSocket listener;
    volatile Handler handler;
    volatile String state = "up";
    volatile long bornMs;
    final AtomicInteger runs = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Disk(String host, int block, Handler handler) throws IOException {
      this.host = host;
      this.block = block;
      this.handler = handler;
      listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
      daemon(() -> {
        while (!listener.isClosed()) {
          try {
            Socket s = listener.accept();
            s.setTcpNoDelay(true);
            open.add(s);
            daemon(() -> serve(s));
          } catch (IOException e) {
            return;
          }
        }
      });
    }

    /** An entry of the list at another's address; serves nothing by itself. */
    Disk(String host, int block, ServerSocket of) {
      this.host = host;
      this.block = block;
      listener = of;
    }

    /** The same disk server under another name. */
    Disk named(String name) {
      Disk d = new Disk(name, block, listener) {
        @Override
        int runs() {
          return Disk.this.runs();
        }
      };
      return d;
    }

    int runs() {
      return runs.get();
    }

    private void serve(Socket s) {
      try (s) {
        InputStream in = new BufferedInputStream(s.getInputStream());
        for (Message m = read(in); m != null; m = read(in)) {
          if (!handler.handle(this, s, m)) {
            return;
          }
        }
      } catch (Exception e) {
        // the connection is gone
      } finally {
        open.remove(s);
      }
    }

    static void answer(Socket s, int status, String extra, byte[] body) throws IOException {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.write(L1.bytes("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n" + extra + "\r\n"));
      out.write(body);
      s.getOutputStream().write(out.toByteArray());
      s.getOutputStream().flush();
    }

    String entry() {
      return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + listener.getLocalPort()
          + "\",\"site\":\"a\",\"class\":\"m2\",\"block\":" + block + ",\"health\":\"" + state
          + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
    }

    public void close() throws IOException {
      listener.close();
      for (Socket s : open) {
        s.close();
      }
    }
  }

  /** Discovery: the list as a sequence of versions; a watch gets what came after its index. */
  static final class Discovery implements Closeable {
    interface Sender {
      /** Writes one object of a watch, its line end included. */
      void send(OutputStream out, String object) throws IOException;
    }

    final ServerSocket listener;
    final List<Disk> disks;
    final TreeMap<Integer, List<Disk>> changes = new TreeMap<>();
    int version;
    /** Seconds until a call is answered. */
    volatile double answerDelay;
    volatile Sender sender = (out, object) -> chunk(out, object + "\n");
    /** Whether a watch begins with the whole list. */
    volatile boolean beginWhole;
    final AtomicInteger watches = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    volatile Consumer<String> log = s -> {};

    Discovery(int version, List<Disk> disks) throws IOException {
      this.version = version;
      this.disks = disks;
      listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
      daemon(() -> {
        while (!listener.isClosed()) {
          try {
            Socket s = listener.accept();
            s.setTcpNoDelay(true);
            open.add(s);
            daemon(() -> serve(s));
          } catch (IOException e) {
            return;
          }
        }
      });
    }

    static void chunk(OutputStream out, String text) throws IOException {
      byte[] b = L1.bytes(text);
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(L1.bytes(Integer.toHexString(b.length) + "\r\n"));
      all.write(b);
      all.write(L1.bytes("\r\n"));
      out.write(all.toByteArray());
      out.flush();
    }

    synchronized String whole() {
      StringJoiner j = new StringJoiner(",", "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[", "]}");
      disks.forEach(d -> j.add(d.entry()));
      return j.toString();
    }

    synchronized String after(int index) {
      LinkedHashSet<Disk> changed = new LinkedHashSet<>();
      changes.tailMap(index, false).values().forEach(changed::addAll);
      StringJoiner j = new StringJoiner(",", "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[", "]}");
      changed.forEach(d -> j.add(d.entry()));
      return j.toString();
    }

    synchronized void change(Disk... changed) {
      changes.put(++version, List.of(changed));
      notifyAll();
    }

    private void serve(Socket s) {
      try (s) {
        Message m = read(new BufferedInputStream(s.getInputStream()));
        if (m == null) {
          return;
        }
        int n = watches.incrementAndGet();
        log.accept("watch " + n + " asked: " + m.first);
        sleep(answerDelay);
        OutputStream out = s.getOutputStream();
        if (!m.first.contains("stream=1")) {
          byte[] b = L1.bytes(whole());
          out.write(L1.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + b.length + "\r\n\r\n"));
          out.write(b);
          return;
        }
        out.write(L1.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        out.flush();
        int at = m.first.contains("index=")
            ? Integer.parseInt(m.first.replaceAll(".*index=([0-9]+).*", "$1"))
            : -1;
        boolean first = true;
        while (true) {
          String object = null;
          synchronized (this) {
            if (version <= at && !(first && (beginWhole || at > version))) {
              wait(1900);
            }
            if (first && (at < 0 || at > version || beginWhole)) {
              object = whole();
            } else if (version > at) {
              object = after(at);
            }
            at = version;
          }
          if (object == null) {
            chunk(out, "\n");
          } else {
            first = false;
            sender.send(out, object);
            log.accept("watch " + n + " sent whole object up to " + at);
          }
        }
      } catch (Exception e) {
        log.accept("watch ended: " + e.getMessage());
      }
    }

    /** Takes no new connection. */
    public void close() throws IOException {
      listener.close();
    }

    /** Closes the open connections. */
    void closeOpen() throws IOException {
      for (Socket s : open) {
        s.close();
      }
    }
  }

  /** A class of the settings. */
  static String clazz(String name, String effect, String group, double window, double aim, double giveUp) {
    return String.format(Locale.ROOT,
        "{\"aim\":%s,\"effect\":\"%s\",\"giveUp\":%s,\"group\":\"%s\",\"lateValue\":0.2,\"name\":\"%s\","
            + "\"points\":2.0,\"streaming\":false,\"window\":%s}",
        aim, effect, giveUp, group, name, window);
  }

  /** Settings with the figures of galway-counters; classes, writes and cold figures are given. */
  static String settings(List<String> classes, String writes, int shards) {
    return "{\"az\":\"a\",\"balancers\":1,\"classes\":[" + String.join(",", classes)
        + "],\"clients\":{\"marksRetry\":false},\"dcs\":[\"a\"],\"discovery\":\"pushed\",\"extra\":{"
        + "\"changesData\":" + writes + ",\"coldBears\":35.0,\"fairWorth\":0.4,\"idleWorth\":0.05,\"meter\":0,"
        + "\"mostUnits\":8,\"nShards\":" + shards + ",\"tellsElsewhere\":false,\"unitMean\":2.0},"
        + "\"family\":\"stores\",\"goal\":{\"whole\":0.6},\"layer\":0,\"layers\":[\"counter-store\"],"
        + "\"models\":[\"m2\"],\"myNumber\":0,\"policies\":[{\"cap\":0.0,\"capDepth\":0.0,\"guaranteed\":50.0,"
        + "\"limitSlack\":0.0,\"name\":\"branch\",\"nominal\":60.0,\"price\":1.2,\"proportion\":1.0}],"
        + "\"policyLimits\":{\"cancel\":true,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":500000,\"dialTimeout\":0.25,"
        + "\"idleClose\":15.0,\"maxAttempts\":4,\"maxRetryAfter\":2.0,\"openCap\":20000,\"peers\":false,"
        + "\"probes\":true,\"retryAfter\":true,\"secondCopies\":true,\"streamsPerConn\":1},\"prices\":{},"
        + "\"rules\":{\"askWithin\":10.0,\"cold\":15.0,\"coldFrom\":0.19,\"drainGrace\":1.0,\"fall\":3.0,"
        + "\"fallMultiple\":3.0,\"graceToAnswer\":0.008},\"stats\":{\"how\":\"probe\",\"names\":[\"recent_ms\"]},"
        + "\"tick\":0.002,\"weights\":\"none\"}";
  }

  /** One scheduler, started with the {@code run} line of the deploy file from the repository's root. */
  static final class Scheduler implements Closeable {
    final int port;
    final Path root, folder, config, log;
    /** What the shell does first. */
    String prefix = "";
    Process process;
    double startedAt, readyAt;

    Scheduler(Path root) throws IOException {
      this.root = root;
      port = freePort();
      folder = Files.createTempDirectory("hollyslip-case");
      config = folder.resolve("config.json");
      log = folder.resolve("log.txt");
    }

    void configure(int discoveryPort, String known, String settings, int memoryMb, int sockets)
        throws IOException {
      String json = "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
          + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
          + ",\"sockets\":" + sockets + "},\"known\":" + known + ",\"settings\":" + settings + "}";
      Path next = folder.resolve("next.json");
      Files.writeString(next, json);
      Files.move(next, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    void start() throws IOException {
      String run = null;
      for (String l : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
        if (l.startsWith("run = \"")) {
          run = l.substring(7, l.lastIndexOf('"'));
        }
      }
      Path tmp = Files.createDirectories(folder.resolve("tmp"));
      ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", prefix + run).directory(root.toFile());
      b.environment().put("PROXY_CONFIG", config.toString());
      b.environment().put("PROXY_NAME", "n1");
      b.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
      b.environment().put("TMPDIR", tmp.toString());
      b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = b.start();
      startedAt = now();
      Process started = process;
      Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    /** Waits for a 200 to GET /ready; false if there is none within this time. */
    boolean awaitReady(double seconds) {
      for (double end = now() + seconds; now() < end && process.isAlive(); sleep(0.02)) {
        try (Socket s = new Socket()) {
          s.connect(new InetSocketAddress("127.0.0.1", port), 500);
          s.setSoTimeout(1000);
          s.getOutputStream().write(L1.bytes("GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n"));
          Message m = read(new BufferedInputStream(s.getInputStream()));
          if (m != null && m.status() == 200) {
            readyAt = now();
            return true;
          }
        } catch (IOException e) {
          // not yet
        }
      }
      return false;
    }

    private OutputStream shell;

    /** Sends a signal at once, by a shell that runs already. */
    void signalFast(String name) throws IOException {
      if (shell == null) {
        Process sh = new ProcessBuilder("/bin/sh").start();
        Runtime.getRuntime().addShutdownHook(new Thread(sh::destroyForcibly));
        shell = sh.getOutputStream();
      }
      shell.write(L1.bytes("kill -" + name + " " + process.pid() + "\n"));
      shell.flush();
    }

    void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    /** Copies the scheduler's own log to the record, ends it and removes its folder. */
    public void close() throws IOException {
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
      try (var paths = Files.walk(folder)) {
        paths.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
      }
    }

    void logTo(Record record, int most) throws IOException {
      List<String> lines = Files.exists(log) ? Files.readAllLines(log, StandardCharsets.ISO_8859_1) : List.of();
      lines.stream().limit(most).forEach(l -> record.line("log %s", l));
      if (lines.size() > most) {
        record.line("log (%d further lines)", lines.size() - most);
      }
    }
  }

  private static final AtomicLong IDS = new AtomicLong(new SecureRandomSeed().value);

  static final class SecureRandomSeed {
    final long value = new java.security.SecureRandom().nextLong();
  }

  static String newId() {
    return String.format("%016x", IDS.addAndGet(0x9e3779b97f4a7c15L));
  }

  /** The bytes of a request in the form of PROTOCOL.md. */
  static byte[] request(String id, String clazz, boolean write, String key, int shard, long remainingMs,
      int units, int volume, byte[] body) {
    StringBuilder h = new StringBuilder(300);
    h.append(write ? "PUT" : "GET").append(" /").append(clazz).append('/')
        .append(String.format("%016x", id.hashCode() & 0xffffffffL)).append(" HTTP/1.1\r\nHost: service.internal\r\n")
        .append("X-Txn: ").append(id).append("\r\nX-Plan: branch\r\nX-Remaining: ").append(remainingMs)
        .append("m\r\n");
    if (key != null) {
      h.append("Idempotency-Key: ").append(key).append("\r\n");
    }
    if (write) {
      h.append("Content-Length: ").append(body.length).append("\r\n");
    }
    h.append("X-IO: volume=").append(String.format("%016x", volume)).append(",units=").append(units)
        .append(",shard=").append(shard).append(",hosts=1\r\n\r\n");
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(L1.bytes(h.toString()));
    out.writeBytes(body);
    return out.toByteArray();
  }

  /** Like {@link #request}, for a write of this piece of data. */
  static byte[] write(String id, String clazz, String piece, int shard, long remainingMs, int volume, byte[] body) {
    String request = L1.text(request(id, clazz, true, id, shard, remainingMs, 2, volume, body));
    int at = request.indexOf('/', 5) + 1;
    return L1.bytes(request.substring(0, at) + piece + request.substring(request.indexOf(' ', at)));
  }

  /** One client: a connection that is kept, one request at a time. */
  static final class Client implements Closeable {
    final int port;
    Socket socket;
    InputStream in;

    Client(int port) {
      this.port = port;
    }

    /** Sends a request and waits for its answer; null if the connection ended or nothing came in time. */
    Message call(byte[] request, double waitS) {
      try {
        if (socket == null) {
          socket = new Socket();
          socket.setTcpNoDelay(true);
          socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
          in = new BufferedInputStream(socket.getInputStream());
        }
        socket.setSoTimeout((int) (waitS * 1000));
        socket.getOutputStream().write(request);
        Message m = read(in);
        if (m == null || "close".equalsIgnoreCase(m.header("connection"))) {
          close();
        }
        return m;
      } catch (IOException e) {
        close();
        return null;
      }
    }

    public void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // gone
      }
      socket = null;
    }
  }

  /** The classes of galway-counters: two safe reads, and a keyed write whose repeats a rack drops for 2.5 s. */
  static List<String> galway() {
    return List.of(clazz("lookup", "pure", "all", 5, 0.3, 2), clazz("new-record", "token", "cell", 2.5, 0.5, 2.5),
        clazz("bulk-read", "pure", "all", 5, 1.5, 5));
  }

  /** The classes of cork-returns: two safe reads, and a write that must never run twice. */
  static List<String> cork() {
    return List.of(clazz("claim-read", "pure", "all", 5, 0.15, 1.2), clazz("claim-write", "side_effect", "all", 5,
        0.3, 2), clazz("bulk-export", "pure", "all", 5, 0.75, 2.5));
  }

  /** The classes of almaty-ledger: a safe read, and a keyed write that asks for order by key. */
  static List<String> almaty() {
    return List.of(clazz("balance-read", "pure", "all", 5, 0.15, 0.75), clazz("transfer-write", "token", "cell", 2.5,
        0.25, 1.5).replace("\"aim\"", "\"byArrival\":true,\"aim\""));
  }

  /** A disk server that does what it is told: so much work a request, on so many cores. */
  static Disk plainDisk(int block, double workS, int cores, Record record, boolean verbose) throws IOException {
    Semaphore free = new Semaphore(cores);
    return new Disk("s-" + String.format("%08x", block), block, (disk, s, m) -> {
      String[] path = m.first.split(" ");
      String id = m.header("x-txn");
      if (!(" " + m.header("host")).endsWith(":" + disk.listener.getLocalPort())) {
        record.line("disk %s: request %s for host %s", disk.host, id, m.header("host"));
      }
      if (verbose) {
        record.line("disk %s (%s) got %s %s", disk.host, disk.state, id, path[1]);
      }
      free.acquire();
      try {
        sleep(workS);
      } finally {
        free.release();
      }
      disk.runs.incrementAndGet();
      Disk.answer(s, 200, "", L1.bytes("ran " + id + " at " + disk.host));
      return true;
    });
  }

  /** Ordinary clients: each asks again and again on a kept connection, and judges its answers: one has to come
   * no later than half a second after the time the client has (and the 50 ms of every time limit). */
  static final class Ordinary {
    final AtomicInteger sent = new AtomicInteger(), served = new AtomicInteger(), refused = new AtomicInteger(),
        failed = new AtomicInteger(), lost = new AtomicInteger(), foreign = new AtomicInteger();
    final List<Thread> threads = new ArrayList<>();
    volatile double worst;
    volatile boolean stop;
    private final Record record;
    private final int port;

    Ordinary(Record record, int port) {
      this.record = record;
      this.port = port;
    }

    /** Adds a client of reads for one shard. */
    void add(String clazz, int shard, long remainingMs, double pause, int volume) {
      threads.add(daemon(() -> {
        Client client = new Client(port);
        while (!stop) {
          String id = newId();
          byte[] request = request(id, clazz, false, null, shard, remainingMs, 2, volume, new byte[0]);
          sent.incrementAndGet();
          double at = now();
          Message m = client.call(request, remainingMs / 1000.0 + 3);
          double took = now() - at;
          synchronized (this) {
            worst = Math.max(worst, took);
          }
          if (m == null || took > remainingMs / 1000.0 + 0.55) {
            lost.incrementAndGet();
            record.line("LOST %s of client %d: %s after %.3f s, it had %.3f s", id, volume, m == null
                ? "no answer"
                : m.first, took, remainingMs / 1000.0);
            sleep(0.3);
          } else if (m.status() == 200) {
            served.incrementAndGet();
            if (!L1.text(m.body).startsWith("ran " + id + " ")) {
              foreign.incrementAndGet();
              record.line("FOREIGN answer to %s: %s", id, L1.text(m.body));
            }
          } else {
            (m.status() == 503 || m.status() == 429 ? refused : failed).incrementAndGet();
          }
          sleep(pause);
        }
        client.close();
      }));
    }

    void finish() throws InterruptedException {
      stop = true;
      for (Thread t : threads) {
        t.join(10_000);
      }
      record.line("ordinary clients: %d sent, %d served, %d refused, %d failed, %d lost, %d foreign; slowest %.3f s",
          sent.get(), served.get(), refused.get(), failed.get(), lost.get(), foreign.get(), worst);
    }
  }
}
