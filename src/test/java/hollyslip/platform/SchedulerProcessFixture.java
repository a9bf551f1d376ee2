package hollyslip.platform;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.awaitility.Awaitility;

/** A scheduler in a process of its own, with the flags of the {@code run} line of the deploy file, between
 * scripted servers: shard 0 at {@link #diskServer}, the node list at {@link #discovery}. */
final class SchedulerProcessFixture implements AutoCloseable {
  /** The platform kills the process this long after SIGTERM: 3 s, as the longest deadline here exceeds that,
   * plus 0.7 s. */
  static final long KILL_AFTER_MS = 3_700;

  private static final String SETTINGS = """
      {"az":"a","balancers":1,"myNumber":0,"tick":0.002,"classes":[
       {"name":"get","effect":"pure","group":"all","window":5,"aim":0.4,"giveUp":2,"points":1,"lateValue":0.2},
       {"name":"scan","effect":"pure","group":"all","window":5,"aim":10,"giveUp":20,"points":1,"lateValue":0.2},
       {"name":"put","effect":"token","group":"cell","window":20,"aim":10,"giveUp":20,"points":1},
       {"name":"pay","effect":"side_effect","group":"cell","window":20,"aim":10,"giveUp":20,"points":1}],
       "policies":[{"name":"gold","nominal":1000,"guaranteed":500,"proportion":1,"price":1}],
       "policyLimits":{"maxAttempts":3,"probes":true,"retryAfter":true,"maxRetryAfter":2,"dialTimeout":5,"idleClose":60},
       "rules":{"graceToAnswer":0.008,"drainGrace":1,"coldFrom":0.5,"cold":1,"fallMultiple":3,"fall":1},
       "extra":{"unitMean":2,"mostUnits":6,"nShards":4,"changesData":[false,false,true,true]},
       "stats":{"how":"answers","names":["recent_ms"]}}""";

  private static final int DEFAULT_MEMORY_MB = 192;

  /** Number of shards in a soak test, each at a disk server of its own. */
  static final int SOAK_SHARDS = 4;

  private static final Pattern STARTED_LINE = Pattern.compile(".* node.started .*listen=\\S*:(\\d+).*");

  final ScriptedServer diskServer = new ScriptedServer(), discovery = new ScriptedServer();
  final List<String> log = new CopyOnWriteArrayList<>();
  final Process process;
  private final Path configFile = Files.createTempFile("scheduler", ".json");
  private final InetSocketAddress address;

  SchedulerProcessFixture() throws IOException {
    this(400, Map.of());
  }

  /** With a limit of {@code sockets} descriptors and additional environment variables. */
  SchedulerProcessFixture(int sockets, Map<String, String> environment) throws IOException {
    this(sockets, environment, List.of());
  }

  /** With a limit of {@code sockets} descriptors and one of memory. */
  SchedulerProcessFixture(int sockets, int memoryMb) throws IOException {
    this(sockets, memoryMb, Map.of(), List.of());
  }

  /** With shards at the given addresses, in order, instead of shard 0 at {@link #diskServer}. */
  SchedulerProcessFixture(int sockets, Map<String, String> environment, List<String> shards)
      throws IOException {
    this(sockets, DEFAULT_MEMORY_MB, environment, shards);
  }

  private SchedulerProcessFixture(int sockets, int memoryMb, Map<String, String> environment,
      List<String> shards) throws IOException {
    List<String> addresses = shards.isEmpty() ? List.of(diskServer.address()) : shards;
    String[] entries = new String[addresses.size()];
    for (int i = 0; i < entries.length; i++) {
      entries[i] = SchedulerFixture.nodeEntryJson("s-" + i, diskServer, i, "up")
          .replace(diskServer.address(), addresses.get(i));
    }
    Files.writeString(configFile, "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery
        .address()
        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
        + ",\"sockets\":" + sockets + "},\"known\":" + SchedulerFixture.nodeListJson(41, true, entries)
        + ",\"settings\":"
        + SETTINGS
        + "}");
    ProcessBuilder builder = new ProcessBuilder(command()).redirectErrorStream(true);
    builder.environment().put("PROXY_CONFIG", configFile.toString());
    builder.environment().putAll(environment);
    process = builder.start();
    Thread reader = new Thread(this::readLog, "log of the scheduler");
    reader.setDaemon(true);
    reader.start();
    Awaitility.await().until(() -> log.stream().anyMatch(l -> l.contains(" node.ready ")));
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port());
  }

  /** The command of the {@code run} line, with the classes of this build instead of the jar, which is not
   * built yet. */
  private static List<String> command() throws IOException {
    String runCommand = Files.readAllLines(Path.of("deploy/balancer.toml"))
        .stream()
        .filter(line -> line.startsWith("run = "))
        .findFirst()
        .orElseThrow()
        .replaceAll("^run = \"exec java |\"$", "");
    List<String> command = new ArrayList<>();
    command.add(ProcessHandle.current().info().command().orElseThrow());
    for (String word : runCommand.split(" ")) {
      if (word.equals("-jar")) {
        // As in the manifest of the jar.
        command.add("--add-exports=java.base/sun.nio.ch=ALL-UNNAMED");
        command.add("-cp");
      } else if (word.endsWith(".jar")) {
        command.add(System.getProperty("java.class.path"));
        command.add("hollyslip.cli.Main");
      } else if (!word.startsWith("-XX:SharedArchiveFile")) {
        command.add(word);
      }
    }
    return command;
  }

  private void readLog() {
    try (var lines = process.inputReader().lines()) {
      lines.forEach(log::add);
    } catch (UncheckedIOException ended) {
      // The process has ended.
    }
  }

  private int port() {
    return log.stream()
        .map(STARTED_LINE::matcher)
        .filter(Matcher::matches)
        .map(m -> Integer.parseInt(m.group(1)))
        .findFirst()
        .orElseThrow();
  }

  SchedulerFixture.Client client() throws IOException {
    return new SchedulerFixture.Client(address);
  }

  /** A plain connection; the test reads the responses itself. */
  Socket connect() throws IOException {
    return new Socket(address.getAddress(), address.getPort());
  }

  /** A plain connection whose operating system keeps few unread bytes. */
  Socket connect(int receiveBufferBytes) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(receiveBufferBytes);
    socket.connect(address);
    return socket;
  }

  /** Sends a signal, named as for {@code kill}. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
  }

  /** Stops all threads of the process; {@code signal("CONT")} continues them. The signal alone returns before
   * the threads have stopped. */
  void suspend() throws IOException, InterruptedException {
    signal("STOP");
    Awaitility.await().pollInterval(1, TimeUnit.MILLISECONDS).until(this::allThreadsStopped);
  }

  private boolean allThreadsStopped() throws IOException {
    for (File thread : new File("/proc/" + process.pid() + "/task").listFiles()) {
      String status = Files.readString(thread.toPath().resolve("stat"));
      // The state follows the name, which is in parentheses.
      if (status.charAt(status.lastIndexOf(')') + 2) != 'T') {
        return false;
      }
    }
    return true;
  }

  /** From now on, the disk server responds to each request with the id of the request. */
  void startEcho() {
    diskServer.startEcho();
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    try {
      process.waitFor(20, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    diskServer.close();
    discovery.close();
    Files.delete(configFile);
  }
}
