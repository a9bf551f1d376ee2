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

  /** A state that is a count of records: what a snapshot after record {@code i} holds. */
  private static byte[] state(long i) {
    return ("state " + i).getBytes(StandardCharsets.UTF_8);
  }

  /** Writes records in groups, with snapshots between, until the disk crashes or 24 are there; the last that
   * was acknowledged. */
  private static long appendWithSnapshots(Journal j, long from) {
    long acknowledged = from;
    for (long i = from + 1; i <= from + 24; i += 3) {
      List<CompletableFuture<Long>> group = new ArrayList<>();
      for (long k = i; k < i + 3; k++) {
        group.add(j.append(record(k)));
      }
      for (CompletableFuture<Long> f : group) {
        try {
          acknowledged = f.join();
        } catch (CompletionException e) {
          return acknowledged;
        }
      }
      if (i % 2 == 0) {
        byte[] state = state(i + 2);
        j.snapshot(i + 2, () -> state).exceptionally(e -> 0L).join();
      }
    }
    return acknowledged;
  }

  /** Everything acknowledged is there, nothing in part, nothing that was never written. */
  private static long checkRecovered(Journal.RecoveredState f, long acknowledged, long appended) {
    long all = f.sequence() + f.records().size();
    assertTrue(all >= acknowledged, all + " records are there, " + acknowledged + " were acknowledged");
    assertTrue(all <= appended);
    if (f.sequence() > 0) {
      assertArrayEquals(state(f.sequence()), f.state());
    }
    for (int i = 0; i < f.records().size(); i++) {
      assertArrayEquals(record(f.sequence() + i + 1), f.records().get(i));
    }
    return all;
  }

  /** A crash at every write, sync and change of a name, with several outcomes of each, and then another crash
   * in the work that follows. */
  @Test
  void acknowledgedRecordsSurviveACrashAtAnyStep() throws IOException {
    CrashingDirectory calm = new CrashingDirectory(-1);
    try (Journal j = new Journal(calm)) {
      assertEquals(24, appendWithSnapshots(j, 0));
    }
    SplittableRandom random = new SplittableRandom(11);
    int points = 0;
    for (long at = 0; at < calm.steps; at++) {
      for (int variant = 0; variant < 20; variant++) {
        CrashingDirectory disk = new CrashingDirectory(at);
        long acknowledged = 0;
        long appended = 0;
        for (int crash = 0; crash < 2; crash++) {
          try {
            Journal j = new Journal(disk);
            long there = checkRecovered(j.recovered(), acknowledged, appended);
            appended = there + 24;
            acknowledged = Math.max(there, appendWithSnapshots(j, there));
            j.close();
          } catch (IOException e) {
            assertEquals("crash", e.getMessage());
          }
          disk = disk.afterCrash(random, crash == 0 ? random.nextInt(40) : -1);
          points++;
        }
        try (Journal j = new Journal(disk)) {
          checkRecovered(j.recovered(), acknowledged, appended);
        }
      }
    }
    assertTrue(points > 2_000, points + " crashes");
  }

  /** A damaged record is never taken for a torn tail: not in the middle, and not the last one either, since
   * the mark behind it tells that it was synced. */
  @Test
  void damagedRecordIsReportedWithItsPosition() throws IOException {
    for (int n = 1; n <= 5; n++) {
      CrashingDirectory disk = new CrashingDirectory(-1);
      Journal j = new Journal(disk);
      for (long i = 1; i <= 5; i++) {
        j.append(record(i)).join();
      }
      j.close();
      CrashingDirectory whole = new CrashingDirectory(-1);
      try (StoreDirectory.AppendableFile out = whole.append("log-0000000000000000000.wal")) {
        out.write(java.nio.ByteBuffer.wrap(disk.read("log-0000000000000000000.wal")));
        out.sync();
      }
      byte[] file = whole.read("log-0000000000000000000.wal");
      List<Frames.Frame> frames = Frames.scan(file, 0, 1).frames();
      assertEquals(5, frames.size());
      whole.flipBits("log-0000000000000000000.wal", frames.get(n - 1).position() + Frames.HEADER + 2);
      String said = assertThrows(StoreException.class, () -> new Journal(whole)).getMessage();
      assertTrue(said.startsWith("log-0000000000000000000.wal: byte " + frames.get(n - 1).position()
          + ": record " + n + " is damaged"), said);
    }
  }

  @Test
  void damagedSnapshotFallsBackToThePreviousOne(@TempDir Path dir) throws IOException {
    try (Journal j = new Journal(new Folder(dir))) {
      assertEquals(24, appendWithSnapshots(j, 0));
    }
    List<String> snapshots;
    try (Folder f = new Folder(dir)) {
      assertThrows(IOException.class, () -> new Folder(dir));
      snapshots = Snapshots.snapshotNames(f.listFiles());
    }
    assertEquals(2, snapshots.size());
    Path newest = dir.resolve(snapshots.get(1));
    byte[] bytes = Files.readAllBytes(newest);
    bytes[bytes.length - 3] ^= 1;
    Files.write(newest, bytes);
    try (Journal j = new Journal(new Folder(dir))) {
      assertEquals(24, checkRecovered(j.recovered(), 24, 24));
      assertEquals(List.of(snapshots.get(1) + ": byte 28: is damaged; the one before is used"), j.recovered()
          .warnings());
    }
    Files.write(dir.resolve(snapshots.get(0)), new byte[]{1});
    assertThrows(StoreException.class, () -> new Journal(new Folder(dir)));
  }

  @Test
  void nothingIsAcknowledgedAfterAFailedWrite() throws IOException {
    CrashingDirectory disk = new CrashingDirectory(4);
    Journal j = new Journal(disk);
    assertThrows(CompletionException.class, () -> {
      for (int i = 0; i < 5; i++) {
        j.append(record(i + 1)).join();
      }
    });
    assertThrows(CompletionException.class, () -> j.append(record(9)).join());
    assertTrue(j.failure() != null);
    j.close();
  }
}
