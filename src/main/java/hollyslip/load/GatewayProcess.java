package hollyslip.load;

import hollyslip.front.sys.Linux;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A gateway running as a separate process, started from the class path of this JVM. */
public final class GatewayProcess {
  private static final int SIGHUP = 1, SIGTERM = 15;

  private final Process process;

  /** Starts {@code serve FILE} and waits until the gateway accepts clients. Its log is appended to
   * {@code log}. */
  public GatewayProcess(Path settings, Path log) throws IOException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    List<String> command = new ArrayList<>(List.of(java, "-Xmx512m", "-XX:+UseSerialGC", "-cp", System
        .getProperty("java.class.path"), "hollyslip.cli.Main", "serve", settings.toString(), "--log",
        "json"));
    process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
        .redirectInput(new File("/dev/null"))
        .start();
    BufferedReader stdout = new BufferedReader(new InputStreamReader(process.getInputStream(),
        StandardCharsets.UTF_8));
    String line = stdout.readLine();
    if (line == null) {
      throw new IOException("gateway failed to start; see " + log);
    }
  }

  /** Sends SIGKILL and waits for the process to exit. */
  public void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  /** Makes the gateway reload its settings. */
  public void reload() throws IOException {
    Linux.signalProcess(process.pid(), SIGHUP);
  }

  /** Sends SIGTERM and returns the exit status. */
  public int stop() throws IOException, InterruptedException {
    if (process.isAlive()) {
      Linux.signalProcess(process.pid(), SIGTERM);
    }
    return process.waitFor();
  }

  public boolean isAlive() {
    return process.isAlive();
  }
}
