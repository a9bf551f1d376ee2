package hollyslip.engine;

import hollyslip.volume.Volume;
import java.util.Map;

/** What fronts know of the engine: where requests are handed in. All calls from any thread. */
public interface Intake {
  /** Hands a request in. False: no room, or the gateway is stopping, or the volume is being moved; the front
   * keeps the request and offers it again when {@link #onRoom} calls.
   *
   * @throws IllegalArgumentException
   *           the volume is not known or does not hold the range */
  boolean offer(Io io);

  /** The client of a request left: it gets no answer, its data is released soon. */
  void depart(Io io);

  /** Has this called, on an engine's thread, whenever there may be room again after a front was turned
   * away. */
  void onRoom(Runnable listener);

  /** Ends the listening of {@link #onRoom}. */
  void forgetRoom(Runnable listener);

  /** The volumes served now, by name. */
  Map<String, Volume> volumes();
}
