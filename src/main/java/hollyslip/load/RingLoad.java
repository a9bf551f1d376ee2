package hollyslip.load;

import hollyslip.audit.Asked;
import hollyslip.engine.Engine;
import hollyslip.node.Nbd;
import hollyslip.volume.IoKind;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.locks.LockSupport;
import java.util.zip.CRC32;
import org.HdrHistogram.Histogram;

/** One ring client at work in its own part of a volume: asks on a schedule drawn from a seed, keeps a
 * reference copy, and writes down each request for the audit. One thread runs it. */
public final class RingLoad implements Runnable {
  /** What it does.
   *
   * @param name
   *          of the client
   * @param gateway
   *          name of the gateway that it asks
   * @param volume
   *          name of the volume
   * @param from
   *          first byte of its part of the volume, a multiple of 4 KiB
   * @param bytes
   *          length of its part
   * @param count
   *          requests in all; 0: until {@link #finish}
   * @param depth
   *          requests out at most
   * @param gapUs
   *          mean time between two requests, us; 0: as fast as answers come
   * @param reads
   *          part of the requests that read
   * @param mostBlocks
   *          blocks of 4 KiB of one request at most
   * @param deadlineUs
   *          how long it waits for one, us
   * @param unitBytes
   *          bytes of a unit
   * @param seed
   *          of all that is drawn */
  public record Plan(String name, String gateway, String volume, long from, long bytes, int count, int depth,
      long gapUs, double reads, int mostBlocks, long deadlineUs, long unitBytes, long seed) {}

  private final Plan plan;
  private final Path socket;
  private final RingClient client;
  private final SplittableRandom random;
  private final BlockStamps stamps;
  private final List<Open> open = new ArrayList<>();
  private final List<Asked> records = new ArrayList<>();
  private final List<String> wrong = new ArrayList<>();
  private final TreeSet<Long> writing = new TreeSet<>();
  private final ByteBuffer scratch;
  private final Histogram latency = new Histogram(60_000_000L, 3);
  private volatile boolean finishing;
  private volatile double speed = 1;
  private volatile boolean abusive;
  private volatile boolean dropping;
  private volatile boolean readsOnly;
  private int repeats;
  private volatile int asked;
  private boolean connected;
  private long nextAt;

  /** A request whose answer is still to come. */
  private final class Open implements RingClient.Done {
    final long id;
    final IoKind kind;
    final long offset;
    final int length;
    final long askedUs = Engine.monotonicMicros();
    long deadlineUs = askedUs + plan.deadlineUs();
    long checksum;
    long[] floors = {};
    boolean over;

    Open(long id, IoKind kind, long offset, int length) {
      this.id = id;
      this.kind = kind;
      this.offset = offset;
      this.length = length;
    }

    @Override
    public void done(int status, int retryMs, ByteBuffer data) {
      over = true;
      Asked.Answer answer = status == 0
          ? Asked.Answer.SERVED
          : status == 0x80 ? Asked.Answer.REFUSED : Asked.Answer.FAILED;
      long now = Engine.monotonicMicros();
      if (kind == IoKind.READ && answer == Asked.Answer.SERVED) {
        checksum = crc(data, length);
        String fault = stamps.check(data, offset, floors);
        if (fault != null) {
          wrong.add(plan.name() + "/" + id + ": " + fault);
        }
      }
      if (kind == IoKind.WRITE) {
        writing.remove(offset);
        if (answer == Asked.Answer.SERVED) {
          stamps.served(offset, length, id);
        }
      }
      repeats += abusive && answer != Asked.Answer.SERVED ? 1 : 0;
      latency.recordValue(Math.min(now - askedUs, latency.getHighestTrackableValue()));
      note(1, now, answer, false);
    }

    void note(int answers, long answeredUs, Asked.Answer answer, boolean left) {
      int code = kind == IoKind.READ ? Nbd.CMD_READ : Nbd.CMD_WRITE;
      records.add(new Asked(plan.name(), plan.gateway(), plan.volume(), id, code, offset, length, Math.max(1,
          length / (double) plan.unitBytes()), -1, checksum, askedUs, deadlineUs, answers, answeredUs, answer,
          left));
    }
  }

  public RingLoad(Plan plan, Path socket) throws IOException {
    this.plan = plan;
    this.socket = socket;
    int size = Integer.highestOneBit(Math.max(4, plan.depth() * 2 - 1));
    client = new RingClient(RingClient.Options.usual(1, size, plan.mostBlocks() * BlockStamps.BLOCK));
    random = new SplittableRandom(plan.seed());
    stamps = new BlockStamps(plan.seed() * 1_000_003 + plan.name().hashCode());
    scratch = ByteBuffer.allocate(plan.mostBlocks() * BlockStamps.BLOCK).order(ByteOrder.LITTLE_ENDIAN);
  }

  private static long crc(ByteBuffer data, int length) {
    CRC32 crc = new CRC32();
    ByteBuffer view = data.duplicate();
    view.position(0).limit(length);
    crc.update(view);
    return crc.getValue();
  }

  /** Asks nothing more; {@link #run} ends when all is answered. */
  public void finish() {
    finishing = true;
  }

  /** Asks so many times as fast. */
  public void speed(double factor) {
    speed = factor;
  }

  /** Asks again at once, out of turn, for each request that is not served: a client that does not back
   * off. */
  public void abusive(boolean on) {
    abusive = on;
  }

  /** Reads alone, or as planned. */
  public void readsOnly(boolean on) {
    readsOnly = on;
  }

  /** Drops the connection and comes again. */
  public void drop() {
    dropping = true;
  }

  /** Requests asked so far. */
  public int asked() {
    return asked;
  }

  /** Works until the last answer, or until nothing can come any more. */
  @Override
  public void run() {
    nextAt = Engine.monotonicMicros();
    long givenUp = Long.MAX_VALUE;
    boolean done = false;
    while (!done) {
      if (!connected && !attach()) {
        continue;
      }
      ask();
      client.kick();
      if (client.poll() == 0) {
        connected = client.await(waitMs()) && !dropping;
        dropping = false;
        if (!connected) {
          client.detach();
        }
      }
      open.removeIf(o -> o.over);
      boolean last = finishing || plan.count() > 0 && asked >= plan.count();
      if (last && givenUp == Long.MAX_VALUE) {
        givenUp = Engine.monotonicMicros() + 3 * plan.deadlineUs() + 5_000_000;
      }
      done = last && (open.isEmpty() || Engine.monotonicMicros() > givenUp);
    }
    open.forEach(o -> o.note(0, 0, Asked.Answer.NONE, false));
    client.close();
  }

  private void vanish() {
    client.detach();
    open.removeIf(o -> o.over);
    open.forEach(o -> o.note(0, 0, Asked.Answer.NONE, true));
    open.clear();
  }

  /** Runs until so many have been asked, then vanishes with what is out. */
  public void runThenVanish() throws IOException {
    nextAt = Engine.monotonicMicros();
    client.connect(socket);
    connected = true;
    while (asked < plan.count()) {
      ask();
      client.kick();
      client.poll();
      open.removeIf(o -> o.over);
    }
    vanish();
    client.close();
  }

  private boolean attach() {
    try {
      client.connect(socket);
      connected = true;
      // Whoever serves now has not taken these before: their time begins again.
      open.forEach(o -> o.deadlineUs = Engine.monotonicMicros() + plan.deadlineUs());
      return true;
    } catch (IOException e) {
      // The gateway is away: asked again soon, as a virtual machine's front end does.
      client.detach();
      LockSupport.parkNanos(20_000_000);
      return false;
    }
  }

  private int waitMs() {
    if (plan.gapUs() == 0 || finishing || open.size() >= plan.depth()) {
      return 100;
    }
    return (int) Math.max(0, Math.min(100, (nextAt - Engine.monotonicMicros() + 999) / 1_000));
  }

  private void ask() {
    while (!finishing && (plan.count() == 0 || asked < plan.count()) && open.size() < plan.depth()) {
      if (plan.gapUs() > 0) {
        long now = Engine.monotonicMicros();
        if (repeats > 0) {
          repeats--;
          one();
          continue;
        }
        if (now < nextAt) {
          return;
        }
        nextAt = Math.max(nextAt, now - 1_000_000) + (long) (-Math.log(1 - random.nextDouble()) * plan.gapUs()
            / speed);
      }
      one();
    }
  }

  private void one() {
    int blocks = 1 + random.nextInt(plan.mostBlocks());
    long room = plan.bytes() / BlockStamps.BLOCK - blocks;
    long offset = plan.from() + random.nextLong(room + 1) * BlockStamps.BLOCK;
    boolean read = random.nextDouble() < plan.reads() || readsOnly;
    int length = blocks * BlockStamps.BLOCK;
    if (!read && overlapsWrite(offset, length)) {
      read = true;
    }
    Open o = new Open(++asked, read ? IoKind.READ : IoKind.WRITE, offset, length);
    if (read) {
      o.floors = stamps.floors(offset, length);
    } else {
      stamps.fill(scratch, o.id, length);
      o.checksum = crc(scratch, length);
      writing.add(offset);
    }
    scratch.clear();
    if (!client.submit(0, o.kind, offset, length, read ? null : scratch, o)) {
      throw new IllegalStateException("no slot though fewer than the depth are out");
    }
    open.add(o);
  }

  /** A client does not write blocks while it waits for another write to them. */
  private boolean overlapsWrite(long offset, int length) {
    long most = (long) plan.mostBlocks() * BlockStamps.BLOCK;
    return !writing.subSet(offset - most + 1, offset + length).isEmpty();
  }

  /** What it wrote down, once it has ended. */
  public List<Asked> records() {
    return records;
  }

  /** Reads whose bytes contradict what was answered before. */
  public List<String> wrong() {
    return wrong;
  }

  /** Time from asking to the answer, us. */
  public Histogram latency() {
    return latency;
  }
}
