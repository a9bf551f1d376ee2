package hollyslip.platform;

import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Injects failing and partial system calls into a process under test, through
 * {@code src/test/c/syscall_faults.c}. The library is compiled when it is first needed; without a C compiler
 * the tests that need it are skipped with a message. */
final class SyscallFaults {
  private static final Path SOURCE = Path.of("src/test/c/syscall_faults.c");

  private SyscallFaults() {}

  /** Environment variables for a process with these faults; {@code settings} alternates names and values of
   * the variables described in the C source. */
  static Map<String, String> environment(String... settings) throws IOException, InterruptedException {
    Map<String, String> environment = new HashMap<>();
    environment.put("LD_PRELOAD", library().toString());
    for (int i = 0; i < settings.length; i += 2) {
      environment.put(settings[i], settings[i + 1]);
    }
    return environment;
  }

  private static synchronized Path library() throws IOException, InterruptedException {
    Path library = Path.of("target/syscall_faults.so").toAbsolutePath();
    if (!Files.exists(library) || Files.getLastModifiedTime(library)
        .compareTo(Files.getLastModifiedTime(SOURCE)) < 0) {
      boolean built;
      try {
        built = run("cc", "-O1", "-Wall", "-shared", "-fPIC", "-o", library.toString(), SOURCE.toString(),
            "-ldl") == 0;
      } catch (IOException noCompiler) {
        built = false;
      }
      assumeTrue(built, "no C compiler: system call faults are not tested");
    }
    return library;
  }

  private static int run(String... command) throws IOException, InterruptedException {
    Process process = new ProcessBuilder(command).inheritIO().start();
    process.waitFor(60, TimeUnit.SECONDS);
    return process.exitValue();
  }
}
