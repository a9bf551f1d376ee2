package hollyslip.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a gateway finds after it was killed: the inflight log and the epoch file. */
class RecoveryTest {
  @Test
  void inflightRequestsAreRecoveredInOrder() {
    ByteBuffer region = ByteBuffer.allocate(InflightLog.regionBytes(8));
    InflightLog log = new InflightLog(region, 8);
    assertEquals(List.of(), log.recover(0));
    for (int head : new int[]{5, 1, 7, 2}) {
      log.recordTaken(head);
    }
    log.prepareAnswer(1);
    log.commitAnswer(1, 1);
    InflightLog recovered = new InflightLog(region, 8);
    assertEquals(List.of(5, 7, 2), recovered.recover(1));
    recovered.recordTaken(0);
    assertEquals(List.of(5, 7, 2, 0), new InflightLog(region, 8).recover(1));
  }

  /** Killed between any two steps of answering, a request is either answered or in flight, never both or
   * neither. */
  @Test
  void killBetweenStepsNeitherLosesNorRepeatsAnAnswer() {
    ByteBuffer region = ByteBuffer.allocate(InflightLog.regionBytes(8));
    InflightLog log = new InflightLog(region, 8);
    log.recover(0);
    log.recordTaken(3);
    log.recordTaken(4);
    log.prepareAnswer(3);
    assertEquals(List.of(3, 4), copyOf(region).recover(0), "not published yet");
    assertEquals(List.of(4), copyOf(region).recover(1), "published but not recorded");
    log.commitAnswer(3, 1);
    assertEquals(List.of(4), copyOf(region).recover(1));
  }

  private static InflightLog copyOf(ByteBuffer region) {
    byte[] bytes = region.array().clone();
    return new InflightLog(ByteBuffer.wrap(bytes), 8);
  }

  /** Random kills over a long run, compared with a plain list. */
  @Test
  void longRunWithRandomKills() {
    SplittableRandom random = new SplittableRandom(3);
    ByteBuffer region = ByteBuffer.allocate(InflightLog.regionBytes(16));
    InflightLog log = new InflightLog(region, 16);
    log.recover(0);
    List<Integer> inflight = new ArrayList<>();
    int used = 0;
    for (int i = 0; i < 20_000; i++) {
      int head = random.nextInt(16);
      if (!inflight.contains(head)) {
        log.recordTaken(head);
        inflight.add(head);
      } else {
        inflight.remove((Integer) head);
        log.prepareAnswer(head);
        used = used + 1 & 0xffff;
        if (random.nextInt(4) > 0) {
          log.commitAnswer(head, used);
        } else {
          log = new InflightLog(region, 16);
          assertEquals(inflight, log.recover(used));
        }
      }
    }
  }

  @Test
  void randomRegionContentIsTolerated() {
    SplittableRandom random = new SplittableRandom(8);
    for (int i = 0; i < 500; i++) {
      byte[] content = new byte[InflightLog.regionBytes(8)];
      random.nextBytes(content);
      content[8] = 1;
      content[9] = 0;
      List<Integer> heads = new InflightLog(ByteBuffer.wrap(content), 8).recover(5);
      assertTrue(heads.stream().distinct().count() == heads.size() && heads.size() <= 8);
    }
    assertThrows(IllegalArgumentException.class, () -> new InflightLog(ByteBuffer.allocate(20), 8));
  }

  @Test
  void epochsGrowAndAreNeverGuessed(@TempDir Path dir) throws Exception {
    Path directory = dir.resolve("state");
    Path file = directory.resolve("epoch");
    try (EpochStore epoch = new EpochStore(directory)) {
      assertEquals(0, epoch.last());
      epoch.advanceTo(1);
      epoch.advanceTo(9);
      assertThrows(IllegalArgumentException.class, () -> epoch.advanceTo(9));
      IOException e = assertThrows(IOException.class, () -> new EpochStore(directory));
      assertTrue(e.getMessage().contains("uses this state folder"), e.getMessage());
    }
    try (EpochStore epoch = new EpochStore(directory)) {
      assertEquals(9, epoch.last());
    }
    Files.writeString(file, "rubbish");
    IOException e = assertThrows(IOException.class, () -> new EpochStore(directory));
    assertTrue(e.getMessage().contains("epoch: not a number: 'rubbish'"));
    assertEquals("rubbish", Files.readString(file));
  }
}
