package hollyslip.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class JournalTest {
  private static byte[] record(long i) {
    return ("record " + i + " ".repeat((int) (i * 37 % 90))).getBytes(StandardCharsets.UTF_8);
  }

  /** The state that a snapshot after record {@code i} holds. */
  private static byte[] state(long i) {
    return ("state " + i).getBytes(StandardCharsets.UTF_8);
  }

  /** Appends 24 records in groups, with snapshots in between, or fewer if the directory crashes; returns the
   * last acknowledged sequence. */
  private static long appendWithSnapshots(Journal journal, long from) {
    long acknowledged = from;
    for (long i = from + 1; i <= from + 24; i += 3) {
      List<CompletableFuture<Long>> group = new ArrayList<>();
      for (long k = i; k < i + 3; k++) {
        group.add(journal.append(record(k)));
      }
      for (CompletableFuture<Long> future : group) {
        try {
          acknowledged = future.join();
        } catch (CompletionException e) {
          return acknowledged;
        }
      }
      if (i % 2 == 0) {
        byte[] state = state(i + 2);
        journal.snapshot(i + 2, () -> state).exceptionally(e -> 0L).join();
      }
    }
    return acknowledged;
  }

  /** Checks that all acknowledged records are present and intact, and that no record was never appended. */
  private static long checkRecovered(Journal.RecoveredState recovered, long acknowledged, long appended) {
    long all = recovered.sequence() + recovered.records().size();
    assertTrue(all >= acknowledged, all + " records are present, " + acknowledged + " were acknowledged");
    assertTrue(all <= appended);
    if (recovered.sequence() > 0) {
      assertArrayEquals(state(recovered.sequence()), recovered.state());
    }
    for (int i = 0; i < recovered.records().size(); i++) {
      assertArrayEquals(record(recovered.sequence() + i + 1), recovered.records().get(i));
    }
    return all;
  }

  /** Crashes at every write, sync and change of a name, with several outcomes of each, and crashes once more
   * in the work that follows. */
  @Test
  void acknowledgedRecordsSurviveACrashAtAnyStep() throws IOException {
    CrashingDirectory uninterrupted = new CrashingDirectory(-1);
    try (Journal journal = new Journal(uninterrupted)) {
      assertEquals(24, appendWithSnapshots(journal, 0));
    }
    SplittableRandom random = new SplittableRandom(11);
    int points = 0;
    for (long at = 0; at < uninterrupted.steps; at++) {
      for (int variant = 0; variant < 20; variant++) {
        CrashingDirectory directory = new CrashingDirectory(at);
        long acknowledged = 0;
        long appended = 0;
        for (int crash = 0; crash < 2; crash++) {
          try {
            Journal journal = new Journal(directory);
            long recordCount = checkRecovered(journal.recovered(), acknowledged, appended);
            appended = recordCount + 24;
            acknowledged = Math.max(recordCount, appendWithSnapshots(journal, recordCount));
            journal.close();
          } catch (IOException e) {
            assertEquals("crash", e.getMessage());
          }
          directory = directory.afterCrash(random, crash == 0 ? random.nextInt(40) : -1);
          points++;
        }
        try (Journal journal = new Journal(directory)) {
          checkRecovered(journal.recovered(), acknowledged, appended);
        }
      }
    }
    assertTrue(points > 2_000, points + " crashes");
  }

  /** A damaged record is never mistaken for a torn tail: neither in the middle of the log, nor at its end,
   * where the sync mark after the record says that it was synced. */
  @Test
  void damagedRecordIsReportedWithItsPosition() throws IOException {
    for (int n = 1; n <= 5; n++) {
      CrashingDirectory directory = new CrashingDirectory(-1);
      Journal journal = new Journal(directory);
      for (long i = 1; i <= 5; i++) {
        journal.append(record(i)).join();
      }
      journal.close();
      CrashingDirectory copy = new CrashingDirectory(-1);
      try (StoreDirectory.AppendableFile out = copy.append("log-0000000000000000000.wal")) {
        out.write(java.nio.ByteBuffer.wrap(directory.read("log-0000000000000000000.wal")));
        out.sync();
      }
      byte[] file = copy.read("log-0000000000000000000.wal");
      List<Frames.Frame> frames = Frames.scan(file, 0, 1).frames();
      assertEquals(5, frames.size());
      copy.flipBits("log-0000000000000000000.wal", frames.get(n - 1).position() + Frames.HEADER + 2);
      String message = assertThrows(StoreException.class, () -> new Journal(copy)).getMessage();
      assertTrue(message.startsWith("log-0000000000000000000.wal: byte " + frames.get(n - 1).position()
          + ": record " + n + " is damaged"), message);
    }
  }

  @Test
  void damagedSnapshotFallsBackToThePreviousOne(@TempDir Path dir) throws IOException {
    try (Journal journal = new Journal(new FileSystemDirectory(dir))) {
      assertEquals(24, appendWithSnapshots(journal, 0));
    }
    List<String> snapshots;
    try (FileSystemDirectory directory = new FileSystemDirectory(dir)) {
      assertThrows(IOException.class, () -> new FileSystemDirectory(dir));
      snapshots = Snapshots.snapshotNames(directory.listFiles());
    }
    assertEquals(2, snapshots.size());
    Path newest = dir.resolve(snapshots.get(1));
    byte[] bytes = Files.readAllBytes(newest);
    bytes[bytes.length - 3] ^= 1;
    Files.write(newest, bytes);
    try (Journal journal = new Journal(new FileSystemDirectory(dir))) {
      assertEquals(24, checkRecovered(journal.recovered(), 24, 24));
      assertEquals(List.of(snapshots.get(1) + ": byte 28: snapshot is damaged; using the previous snapshot"),
          journal.recovered().warnings());
    }
    Files.write(dir.resolve(snapshots.get(0)), new byte[]{1});
    assertThrows(StoreException.class, () -> new Journal(new FileSystemDirectory(dir)));
  }

  @Test
  void nothingIsAcknowledgedAfterAFailedWrite() throws IOException {
    CrashingDirectory directory = new CrashingDirectory(4);
    Journal journal = new Journal(directory);
    assertThrows(CompletionException.class, () -> {
      for (int i = 0; i < 5; i++) {
        journal.append(record(i + 1)).join();
      }
    });
    assertThrows(CompletionException.class, () -> journal.append(record(9)).join());
    assertTrue(journal.failure() != null);
    journal.close();
  }
}
