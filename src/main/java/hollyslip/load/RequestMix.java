package hollyslip.load;

import hollyslip.volume.IoKind;
import java.util.SplittableRandom;

/** Generates the operations of one client from a seed, identically for the emulator and for real sockets. */
public final class RequestMix {
  private static final int BLOCK = 4_096;

  private final Scenario.VolumeLoad load;
  private final long firstByte, blockCount;
  private final SplittableRandom random;

  /** An operation; {@code offset} and {@code length} are in bytes, multiples of 4 KiB. */
  public record Operation(IoKind kind, long offset, int length) {}

  /** @param index
   *          index of the client among the {@code clientCount} clients of the volume, each of which has its
   *          own part of the volume */
  public RequestMix(Scenario.VolumeLoad load, int index, int clientCount, long volumeBytes, long seed) {
    this.load = load;
    blockCount = volumeBytes / clientCount / BLOCK;
    firstByte = index * blockCount * BLOCK;
    random = new SplittableRandom(seed);
  }

  /** Returns the next operation; {@code readsOnly} forces a read. */
  public Operation next(boolean readsOnly) {
    int length = (int) Math.min(1 + random.nextInt(load.maxBlocks()), blockCount);
    long offset = firstByte + random.nextLong(blockCount - length + 1) * BLOCK;
    boolean read = random.nextDouble() < load.readFraction() || readsOnly;
    return new Operation(read ? IoKind.READ : IoKind.WRITE, offset, length * BLOCK);
  }
}
