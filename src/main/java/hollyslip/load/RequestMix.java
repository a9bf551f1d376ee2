package hollyslip.load;

import hollyslip.volume.IoKind;
import java.util.SplittableRandom;

/** What the requests of one client are: drawn from a seed, the same for the emulator and for sockets. */
public final class RequestMix {
  private static final int BLOCK = 4_096;

  private final Day.Load load;
  private final long from, blocks;
  private final SplittableRandom random;

  /** A request: {@code offset} and {@code length} in bytes, multiples of 4 KiB. */
  public record Ask(IoKind kind, long offset, int length) {}

  /** @param number
   *          of the client among the {@code all} of its volume, which has its part of it alone */
  public RequestMix(Day.Load load, int number, int all, long volumeBytes, long seed) {
    this.load = load;
    blocks = volumeBytes / all / BLOCK;
    from = number * blocks * BLOCK;
    random = new SplittableRandom(seed);
  }

  /** The next one; {@code readsOnly}: whatever was planned. */
  public Ask next(boolean readsOnly) {
    int length = (int) Math.min(1 + random.nextInt(load.mostBlocks()), blocks);
    long offset = from + random.nextLong(blocks - length + 1) * BLOCK;
    boolean read = random.nextDouble() < load.reads() || readsOnly;
    return new Ask(read ? IoKind.READ : IoKind.WRITE, offset, length * BLOCK);
  }
}
