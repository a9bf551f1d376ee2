package hollyslip.load;

import hollyslip.audit.RequestRecord;
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

/** A ring client that generates load in its own part of a volume: submits requests on a schedule drawn from a
 * seed, checks reads against what it wrote, and records each request for the audit. Runs on one thread. */
public final class RingLoad implements Runnable {
  /** Configuration of a client.
   *
   * @param name
   *          name of the client
   * @param gateway
   *          name of the gateway that it connects to
   * @param volume
   *          name of the volume
   * @param firstByte
   *          first byte of its part of the volume, a multiple of 4 KiB
   * @param lengthBytes
   *          length of its part
   * @param maxRequests
   *          total number of requests; 0: until {@link #finish}
   * @param depth
   *          maximum number of outstanding requests
   * @param meanGapUs
   *          mean time between two requests, us; 0: as fast as answers arrive
   * @param readFraction
   *          fraction of the requests that are reads
   * @param maxBlocks
   *          maximum number of 4 KiB blocks of a request
   * @param deadlineUs
   *          how long it waits for an answer, us
   * @param unitBytes
   *          bytes per unit
   * @param seed
   *          seed of all random choices */
  public record Config(String name, String gateway, String volume, long firstByte, long lengthBytes,
      int maxRequests, int depth,
      long meanGapUs, double readFraction, int maxBlocks, long deadlineUs, long unitBytes, long seed) {}

  private final Config config;
  private final Path socket;
  private final RingClient client;
  private final SplittableRandom random;
  private final BlockStamps stamps;
  private final List<OpenRequest> openRequests = new ArrayList<>();
  private final List<RequestRecord> records = new ArrayList<>();
  private final List<String> wrongReads = new ArrayList<>();
  private final TreeSet<Long> offsetsBeingWritten = new TreeSet<>();
  private final ByteBuffer writeBuffer;
  private final Histogram latency = new Histogram(60_000_000L, 3);
  private volatile boolean finishing;
  private volatile double rateFactor = 1;
  private volatile boolean retryImmediately;
  private volatile boolean dropping;
  private volatile boolean readsOnly;
  private int pendingRetries;
  private volatile int requestCount;
  private boolean connected;
  private long nextDueUs;

  /** An outstanding request. */
  private final class OpenRequest implements RingClient.CompletionListener {
    final long id;
    final IoKind kind;
    final long offset;
    final int length;
    final long askedUs = Engine.monotonicMicros();
    long deadlineUs = askedUs + config.deadlineUs();
    long checksum;
    long[] minWriteIds = {};
    boolean done;

    OpenRequest(long id, IoKind kind, long offset, int length) {
      this.id = id;
      this.kind = kind;
      this.offset = offset;
      this.length = length;
    }

    @Override
    public void onComplete(int status, int retryMs, ByteBuffer data) {
      done = true;
      RequestRecord.Answer answer = status == 0
          ? RequestRecord.Answer.SERVED
          : status == 0x80 ? RequestRecord.Answer.REFUSED : RequestRecord.Answer.FAILED;
      long now = Engine.monotonicMicros();
      if (kind == IoKind.READ && answer == RequestRecord.Answer.SERVED) {
        checksum = crc32(data, length);
        String mismatch = stamps.findMismatch(data, offset, minWriteIds);
        if (mismatch != null) {
          wrongReads.add(config.name() + "/" + id + ": " + mismatch);
        }
      }
      if (kind == IoKind.WRITE) {
        offsetsBeingWritten.remove(offset);
        if (answer == RequestRecord.Answer.SERVED) {
          stamps.recordServed(offset, length, id);
        }
      }
      pendingRetries += retryImmediately && answer != RequestRecord.Answer.SERVED ? 1 : 0;
      latency.recordValue(Math.min(now - askedUs, latency.getHighestTrackableValue()));
      recordOutcome(1, now, answer, false);
    }

    void recordOutcome(int answers, long answeredUs, RequestRecord.Answer answer, boolean disconnected) {
      int code = kind == IoKind.READ ? Nbd.CMD_READ : Nbd.CMD_WRITE;
      records.add(new RequestRecord(config.name(), config.gateway(), config.volume(), id, code, offset,
          length, Math
              .max(1,
                  length / (double) config.unitBytes()), -1, checksum, askedUs, deadlineUs, answers,
          answeredUs,
          answer,
          disconnected));
    }
  }

  public RingLoad(Config config, Path socket) throws IOException {
    this.config = config;
    this.socket = socket;
    int queueSize = Integer.highestOneBit(Math.max(4, config.depth() * 2 - 1));
    client = new RingClient(RingClient.Options.allFeatures(1, queueSize, config.maxBlocks()
        * BlockStamps.BLOCK_BYTES));
    random = new SplittableRandom(config.seed());
    stamps = new BlockStamps(config.seed() * 1_000_003 + config.name().hashCode());
    writeBuffer = ByteBuffer.allocate(config.maxBlocks() * BlockStamps.BLOCK_BYTES)
        .order(ByteOrder.LITTLE_ENDIAN);
  }

  private static long crc32(ByteBuffer data, int length) {
    CRC32 checksum = new CRC32();
    ByteBuffer view = data.duplicate();
    view.position(0).limit(length);
    checksum.update(view);
    return checksum.getValue();
  }

  /** Stops submitting requests; {@link #run} returns once all are answered. */
  public void finish() {
    finishing = true;
  }

  /** Multiplies the request rate by {@code factor}. */
  public void rateFactor(double factor) {
    rateFactor = factor;
  }

  /** Whether to submit another request at once, in addition to the schedule, for each request that is not
   * served: a client without backoff. */
  public void retryImmediately(boolean on) {
    retryImmediately = on;
  }

  /** Whether to submit reads only. */
  public void readsOnly(boolean on) {
    readsOnly = on;
  }

  /** Drops the connection and connects again. */
  public void reconnect() {
    dropping = true;
  }

  /** Number of requests submitted so far. */
  public int requestCount() {
    return requestCount;
  }

  /** Runs until the last answer, or until no more answers can arrive. */
  @Override
  public void run() {
    nextDueUs = Engine.monotonicMicros();
    long giveUpAtUs = Long.MAX_VALUE;
    boolean finished = false;
    while (!finished) {
      if (!connected && !tryConnect()) {
        continue;
      }
      issueDueRequests();
      client.kick();
      if (client.poll() == 0) {
        connected = client.await(waitMs()) && !dropping;
        dropping = false;
        if (!connected) {
          client.detach();
        }
      }
      openRequests.removeIf(request -> request.done);
      boolean allSubmitted = finishing || config.maxRequests() > 0 && requestCount >= config.maxRequests();
      if (allSubmitted && giveUpAtUs == Long.MAX_VALUE) {
        giveUpAtUs = Engine.monotonicMicros() + 3 * config.deadlineUs() + 5_000_000;
      }
      finished = allSubmitted && (openRequests.isEmpty() || Engine.monotonicMicros() > giveUpAtUs);
    }
    openRequests.forEach(request -> request.recordOutcome(0, 0, RequestRecord.Answer.NONE, false));
    client.close();
  }

  private void disconnectAbruptly() {
    client.detach();
    openRequests.removeIf(request -> request.done);
    openRequests.forEach(request -> request.recordOutcome(0, 0, RequestRecord.Answer.NONE, true));
    openRequests.clear();
  }

  /** Submits {@code maxRequests} requests, then disconnects while they are outstanding. */
  public void runThenVanish() throws IOException {
    nextDueUs = Engine.monotonicMicros();
    client.connect(socket);
    connected = true;
    while (requestCount < config.maxRequests()) {
      issueDueRequests();
      client.kick();
      client.poll();
      openRequests.removeIf(request -> request.done);
    }
    disconnectAbruptly();
    client.close();
  }

  private boolean tryConnect() {
    try {
      client.connect(socket);
      connected = true;
      // The new gateway process has not taken these requests before, so their deadlines start over.
      openRequests.forEach(request -> request.deadlineUs = Engine.monotonicMicros() + config.deadlineUs());
      return true;
    } catch (IOException e) {
      // The gateway is down: retries after 20 ms, like the front end of a virtual machine.
      client.detach();
      LockSupport.parkNanos(20_000_000);
      return false;
    }
  }

  private int waitMs() {
    if (config.meanGapUs() == 0 || finishing || openRequests.size() >= config.depth()) {
      return 100;
    }
    return (int) Math.max(0, Math.min(100, (nextDueUs - Engine.monotonicMicros() + 999) / 1_000));
  }

  private void issueDueRequests() {
    while (!finishing && (config.maxRequests() == 0 || requestCount < config.maxRequests()) && openRequests
        .size() < config.depth()) {
      if (config.meanGapUs() > 0) {
        long now = Engine.monotonicMicros();
        if (pendingRetries > 0) {
          pendingRetries--;
          issueRequest();
          continue;
        }
        if (now < nextDueUs) {
          return;
        }
        nextDueUs = Math.max(nextDueUs, now - 1_000_000) + (long) (-Math.log(1 - random.nextDouble()) * config
            .meanGapUs()
            / rateFactor);
      }
      issueRequest();
    }
  }

  private void issueRequest() {
    int blocks = 1 + random.nextInt(config.maxBlocks());
    long freeBlocks = config.lengthBytes() / BlockStamps.BLOCK_BYTES - blocks;
    long offset = config.firstByte() + random.nextLong(freeBlocks + 1) * BlockStamps.BLOCK_BYTES;
    boolean read = random.nextDouble() < config.readFraction() || readsOnly;
    int length = blocks * BlockStamps.BLOCK_BYTES;
    if (!read && overlapsWrite(offset, length)) {
      read = true;
    }
    OpenRequest request = new OpenRequest(++requestCount, read ? IoKind.READ : IoKind.WRITE, offset, length);
    if (read) {
      request.minWriteIds = stamps.minWriteIds(offset, length);
    } else {
      stamps.fillForWrite(writeBuffer, request.id, length);
      request.checksum = crc32(writeBuffer, length);
      offsetsBeingWritten.add(offset);
    }
    writeBuffer.clear();
    if (!client.submit(0, request.kind, offset, length, read ? null : writeBuffer, request)) {
      throw new IllegalStateException("no free slot although fewer requests than the depth are outstanding");
    }
    openRequests.add(request);
  }

  /** Whether a write to any of these blocks is outstanding; a client does not write blocks that it is already
   * writing. */
  private boolean overlapsWrite(long offset, int length) {
    long maxBytes = (long) config.maxBlocks() * BlockStamps.BLOCK_BYTES;
    return !offsetsBeingWritten.subSet(offset - maxBytes + 1, offset + length).isEmpty();
  }

  /** Records of all requests; complete once the client has ended. */
  public List<RequestRecord> records() {
    return records;
  }

  /** Reads that returned bytes contradicting earlier answers. */
  public List<String> wrongReads() {
    return wrongReads;
  }

  /** Time from submission to answer, us. */
  public Histogram latency() {
    return latency;
  }
}
