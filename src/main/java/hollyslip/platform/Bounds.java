package hollyslip.platform;

import java.io.File;

/** Resources, not policy: how many descriptors and bytes each side may hold, so that neither side can take
 * what the other needs.
 *
 * @param clients
 *          connections of clients
 * @param idleClients
 *          of them that carry nothing, beyond which those go that were idle for long
 * @param disks
 *          connections to disk servers, those that are coming up too
 * @param bytes
 *          of request bodies held at a time; as much again for answers that are not whole yet */
record Bounds(int clients, int idleClients, int disks, long bytes) {
  /** Descriptors kept free beside both: discovery's old and new connection, and files opened now and then. */
  private static final int SPARE_DESCRIPTORS = 10;

  /** Longest body of a request, bytes: the protocol's. */
  static final int BODY = 64 << 10;

  /** Longest body of an answer, bytes: disk servers have been seen to send some hundred KiB. Guards memory
   * against answers without an end. */
  static final int MAX_RESPONSE_BODY_BYTES = 4 << 20;

  /** Of what the process may hold and does not hold yet, clients get three quarters: they come by the
   * hundreds, strangers among them, while the module keeps what is out at a disk server to some tens. */
  static Bounds of(int sockets, int held, int memoryMb) {
    int room = Math.max(8, sockets - held - SPARE_DESCRIPTORS);
    int clients = room * 3 / 4;
    return new Bounds(clients, clients / 5, room - clients, memoryMb * (1L << 20) / 16);
  }

  /** Descriptors that the process holds now. */
  static int descriptorsHeld() {
    String[] open = new File("/proc/self/fd").list();
    return open == null ? 64 : open.length;
  }
}
