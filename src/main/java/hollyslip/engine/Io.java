package hollyslip.engine;

import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.util.List;

/** A request as a front hands it in.
 *
 * <p>
 * {@code data} is the client's own memory: for a write it is read while an attempt is being sent, for a read
 * it is written when an answer comes. It belongs to the engine from {@link Engine#offer} until
 * {@link Client#released}; the sum of what remains in the buffers is {@code length}. */
public final class Io {
  /** The front's side of a request. Both calls come on the engine's thread and must not block. */
  public interface Client {
    /** The final answer; comes exactly once unless the client departed before. */
    void answered(Answer answer);

    /** Nothing will touch the request's data any more; comes exactly once, after the answer or the
     * departure. */
    void released();
  }

  private final String volume;
  private final IoKind kind;
  private final long offset;
  private final long length;
  private final List<ByteBuffer> data;
  private final long remainingUs;
  private final Client listener;
  private final boolean resumed;
  /** What the engine makes of it once it is taken. */
  volatile ActiveRequest activeRequest;

  /** @param volume
   *          name of the volume
   * @param kind
   *          what to do
   * @param offset
   *          first byte; a multiple of the block size
   * @param length
   *          bytes; 0 for a flush
   * @param data
   *          buffers, in order; empty for kinds without data
   * @param remainingUs
   *          how long the client still waits, us; 0: as the request's class says
   * @param client
   *          who hears of the end */
  public Io(String volume, IoKind kind, long offset, long length, List<ByteBuffer> data, long remainingUs,
      Client client) {
    this(volume, kind, offset, length, data, remainingUs, client, false);
  }

  /** @param resumed
   *          a gateway process before this one had taken it and may have begun it: of a change nobody can say
   *          then that trying again is harmless */
  public Io(String volume, IoKind kind, long offset, long length, List<ByteBuffer> data, long remainingUs,
      Client client, boolean resumed) {
    this.resumed = resumed;
    this.volume = volume;
    this.kind = kind;
    this.offset = offset;
    this.length = length;
    this.data = data;
    this.remainingUs = remainingUs;
    this.listener = client;
  }

  public String volume() {
    return volume;
  }

  public IoKind kind() {
    return kind;
  }

  public long offset() {
    return offset;
  }

  public long length() {
    return length;
  }

  public List<ByteBuffer> data() {
    return data;
  }

  public long remainingUs() {
    return remainingUs;
  }

  public Client listener() {
    return listener;
  }

  /** Whether a process before may have begun it. */
  public boolean resumed() {
    return resumed;
  }

  /** Bytes of data that are held for it. */
  long dataBytes() {
    return kind.carriesData() ? length : 0;
  }
}
