package hollyslip;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Bounds the size of the scheduler, which new developers read first. */
class SchedulerSizeTest {
  private static final Path SOURCE = Path.of("src/main/java/hollyslip/TokenBorrowingScheduler.java");

  @Test
  void hasAtMost1000LinesOfCode() throws Exception {
    String code = Files.readString(SOURCE).replaceAll("(?s)/\\*.*?\\*/", "");
    long lines = code.lines().filter(l -> !l.isBlank() && !l.strip().startsWith("//")).count();
    assertTrue(lines > 0 && lines <= 1000, "lines of code: " + lines);
  }

  @Test
  void noLineIsLongerThan110Characters() throws Exception {
    List<String> tooLong = Files.readAllLines(SOURCE).stream().filter(l -> l.length() > 110).toList();
    assertTrue(tooLong.isEmpty(), "lines longer than 110 characters: " + tooLong);
  }
}
