package hollyslip.load;

import hollyslip.volume.IoKind;
import java.util.SplittableRandom;

/** What the requests of one client are: drawn from a seed, the same for the emulator and for sockets. */
public final class RequestMix {
  private static final int BLOCK = 4_096;

  private final Day.VolumeLoad load;
  private final long firstByte, blockCount;
  private final SplittableRandom random;

  /** A request: {@code offset} and {@code length} in bytes, multiples of 4 KiB. */
  public record Operation(IoKind kind, long offset, int length) {}

  /** @param number
   *          of the client among the {@code all} of its volume, which has its part of it alone */
  public RequestMix(Day.VolumeLoad load, int number, int all, long volumeBytes, long seed) {
    this.load = load;
    blockCount = volumeBytes / all / BLOCK;
    firstByte = number * blockCount * BLOCK;
    random = new SplittableRandom(seed);
  }

  /** The next one; {@code readsOnly}: whatever was planned. */
  public Operation next(boolean readsOnly) {
    int length = (int) Math.min(1 + random.nextInt(load.maxBlocks()), blockCount);
    long offset = firstByte + random.nextLong(blockCount - length + 1) * BLOCK;
    boolean read = random.nextDouble() < load.readFraction() || readsOnly;
    return new Operation(read ? IoKind.READ : IoKind.WRITE, offset, length * BLOCK);
  }
}
