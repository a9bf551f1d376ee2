package hollyslip.engine;

import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.util.List;

/** A request as a front submits it.
 *
 * <p>
 * {@code data} is the client's own memory: for a write it is read while an attempt is being sent, for a read
 * it is filled when a response arrives. It belongs to the engine from {@link Engine#offer} until
 * {@link CompletionListener#onRelease}; the bytes remaining in the buffers add up to {@code length}. */
public final class IoRequest {
  /** Callbacks to the front. Both run on the engine's thread and must not block. */
  public interface CompletionListener {
    /** Delivers the final answer; called exactly once unless the client disconnected before. */
    void onAnswer(Answer answer);

    /** The request's data is no longer touched; called exactly once, after the answer or the
     * disconnection. */
    void onRelease();
  }

  private final String volume;
  private final IoKind kind;
  private final long offset;
  private final long length;
  private final List<ByteBuffer> data;
  private final long remainingUs;
  private final CompletionListener listener;
  private final boolean resumed;
  /** Set once the engine has accepted the request. */
  volatile ActiveRequest activeRequest;

  /** @param volume
   *          name of the volume
   * @param kind
   *          operation
   * @param offset
   *          first byte; a multiple of the block size
   * @param length
   *          number of bytes; 0 for a flush
   * @param data
   *          buffers in order; empty for operations without data
   * @param remainingUs
   *          how long the client still waits, us; 0 for the deadline of the request's class
   * @param listener
   *          receives the answer */
  public IoRequest(String volume, IoKind kind, long offset, long length, List<ByteBuffer> data,
      long remainingUs, CompletionListener listener) {
    this(volume, kind, offset, length, data, remainingUs, listener, false);
  }

  /** @param resumed
   *          whether an earlier gateway process accepted the request and may have started it; a write can
   *          then no longer be reported as safe to retry */
  public IoRequest(String volume, IoKind kind, long offset, long length, List<ByteBuffer> data,
      long remainingUs, CompletionListener listener, boolean resumed) {
    this.resumed = resumed;
    this.volume = volume;
    this.kind = kind;
    this.offset = offset;
    this.length = length;
    this.data = data;
    this.remainingUs = remainingUs;
    this.listener = listener;
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

  public CompletionListener listener() {
    return listener;
  }

  /** Whether an earlier gateway process may have started it. */
  public boolean resumed() {
    return resumed;
  }

  /** Number of data bytes held for this request. */
  long dataBytes() {
    return kind.carriesData() ? length : 0;
  }
}
