package hollyslip.engine;

import hollyslip.volume.Volume;
import java.util.Map;

/** The engine as fronts see it: where requests are submitted. Thread-safe. */
public interface RequestIntake {
  /** Submits a request. Returns false if there is no capacity, the gateway is stopping or the volume is being
   * moved; the front keeps the request and offers it again when a listener added by
   * {@link #addCapacityListener} is called.
   *
   * @throws IllegalArgumentException
   *           the volume is unknown or does not contain the range */
  boolean offer(IoRequest io);

  /** Reports that the client of a request has disconnected: the request gets no answer, and its data is
   * released soon. */
  void abandon(IoRequest io);

  /** Registers a listener that an engine's thread calls whenever there may be capacity again after an offer
   * was rejected. */
  void addCapacityListener(Runnable listener);

  /** Removes a listener added by {@link #addCapacityListener}. */
  void removeCapacityListener(Runnable listener);

  /** The volumes served now, by name. */
  Map<String, Volume> volumes();
}
