package hollyslip.platform;

import java.io.File;

/** Resource limits, not policy: how many file descriptors and bytes the client side and the disk server side
 * may use, so that neither exhausts what the other needs. What peers can make the process hold fits into its
 * heap, whatever memory and descriptors are configured. Logged at the start under the names of the
 * components.
 *
 * @param clients
 *          limit of client connections
 * @param idleClients
 *          number of idle client connections above which those that were idle for long are closed
 * @param disks
 *          limit of connections to disk servers, including those being established
 * @param bytes
 *          limit of bytes of request bodies, partial ones included; the same applies to incomplete responses
 *          of disk servers and to responses that clients have not read
 * @param transactions
 *          number of transaction ids that are remembered
 * @param volumes
 *          number of volumes whose state the scheduler keeps while they have no requests */
record Bounds(int clients, int idleClients, int disks, long bytes, int transactions, int volumes) {
  /** File descriptors reserved for the old and new connection to discovery, and for files opened
   * occasionally. */
  private static final int SPARE_DESCRIPTORS = 10;

  /** Heap that one connection takes, bytes: its objects, an incomplete head, and the codec's room for the
   * longest line that it has read. */
  static final int CONNECTION_BYTES = 20 << 10;

  /** Part of the heap that connections may take. */
  private static final double HEAP_PART_OF_CONNECTIONS = 9.0 / 32;

  /** Part of the configured memory, and of the heap, that each of the three groups of buffered bytes may
   * take. */
  private static final int MEMORY_PER_BYTES = 16, HEAP_PER_BYTES = 8;

  /** Heap that one remembered transaction id takes, bytes, and part of the heap that they may take. */
  static final int TRANSACTION_BYTES = 64;

  private static final int HEAP_PER_TRANSACTIONS = 32;

  /** Heap that the scheduler's state of one volume takes, bytes: at a node, and its buckets; and part of the
   * heap that they may take. */
  static final int VOLUME_BYTES = 768;

  private static final int HEAP_PER_VOLUMES = 16;

  /** Most transaction ids that are worth remembering: at the full speed of one core, those of a minute. */
  private static final int MAX_TRANSACTIONS = 1 << 20;

  /** Longest request body, bytes, as the protocol defines it. */
  static final int MAX_REQUEST_BODY_BYTES = 64 << 10;

  /** Longest response body, bytes: disk servers were seen to send several hundred KiB. Protects memory from
   * unbounded responses. */
  static final int MAX_RESPONSE_BODY_BYTES = 4 << 20;

  /** Derives the limits from the descriptor limit, the descriptors already open, the memory limit and the
   * size of the heap. Clients get three quarters of the connections: there are hundreds of them, some
   * untrusted, while the scheduler keeps the attempts at a disk server to some tens. */
  static Bounds of(int maxDescriptors, int openDescriptors, int memoryMb, long heapBytes) {
    long available = Math.max(8, maxDescriptors - openDescriptors - SPARE_DESCRIPTORS);
    int connections = (int) Math.min(available, (long) (heapBytes * HEAP_PART_OF_CONNECTIONS)
        / CONNECTION_BYTES);
    int clients = connections * 3 / 4;
    long memoryBytes = memoryMb * (1L << 20);
    long bytes = Math.min(memoryBytes / MEMORY_PER_BYTES, heapBytes / HEAP_PER_BYTES);
    int transactions = (int) Math.min(heapBytes / HEAP_PER_TRANSACTIONS / TRANSACTION_BYTES,
        MAX_TRANSACTIONS);
    int volumes = (int) Math.min(heapBytes / HEAP_PER_VOLUMES / VOLUME_BYTES, Integer.MAX_VALUE);
    return new Bounds(clients, clients / 5, connections - clients, bytes, transactions, volumes);
  }

  /** Number of file descriptors that the process has open now. */
  static int openDescriptors() {
    String[] open = new File("/proc/self/fd").list();
    return open == null ? 64 : open.length;
  }
}
