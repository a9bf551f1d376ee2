package hollyslip.node;

/** Constants of the NBD protocol (doc/proto.md of the Network Block Device project), from its sections "Fixed
 * newstyle negotiation", "Option types", "Request message", "Structured reply types" and "Error values", and
 * of this project's own metadata contexts (docs/node-protocol.md). */
public final class Nbd {
  public static final long INIT_MAGIC = 0x4e42444d41474943L;
  public static final long IHAVEOPT = 0x49484156454F5054L;
  public static final long OPTION_REPLY_MAGIC = 0x0003e889045565a9L;
  public static final int REQUEST_MAGIC = 0x25609513;
  public static final int SIMPLE_REPLY_MAGIC = 0x67446698;
  public static final int STRUCTURED_REPLY_MAGIC = 0x668e33ef;

  public static final int FLAG_FIXED_NEWSTYLE = 1, FLAG_NO_ZEROES = 2;
  public static final int SEND_FLUSH = 1 << 2, SEND_TRIM = 1 << 5, SEND_WRITE_ZEROES = 1 << 6;
  public static final int HAS_FLAGS = 1, CAN_MULTI_CONN = 1 << 8;

  public static final int OPT_EXPORT_NAME = 1, OPT_ABORT = 2, OPT_LIST = 3, OPT_INFO = 6, OPT_GO = 7;
  public static final int OPT_STRUCTURED_REPLY = 8, OPT_LIST_META_CONTEXT = 9, OPT_SET_META_CONTEXT = 10;
  public static final int REP_ACK = 1, REP_SERVER = 2, REP_INFO = 3, REP_META_CONTEXT = 4;
  public static final int REP_ERROR = 1 << 31, REP_ERR_UNSUP = REP_ERROR + 1, REP_ERR_INVALID = REP_ERROR + 3;
  public static final int REP_ERR_UNKNOWN = REP_ERROR + 6;
  public static final int INFO_EXPORT = 0, INFO_BLOCK_SIZE = 3;

  public static final int CMD_READ = 0, CMD_WRITE = 1, CMD_DISC = 2, CMD_FLUSH = 3, CMD_TRIM = 4;
  public static final int CMD_WRITE_ZEROES = 6, CMD_BLOCK_STATUS = 7;
  public static final int CMD_FLAG_REQ_ONE = 1 << 3;

  public static final int CHUNK_NONE = 0, CHUNK_DATA = 1, CHUNK_HOLE = 2, CHUNK_BLOCK_STATUS = 5;
  public static final int CHUNK_ERROR = 32769, CHUNK_ERROR_OFFSET = 32770;
  public static final int CHUNK_FLAG_DONE = 1;

  public static final int EPERM = 1, EIO = 5, ENOMEM = 12, EINVAL = 22, ENOSPC = 28, ENOTSUP = 95,
      ESHUTDOWN = 108;

  /** Metadata context of this project: a node's load, reported as the block status of consecutive blocks. */
  public static final String CONTEXT_LOAD = "hollyslip:load";
  /** Metadata context of this project: which client connects and which of its connections are still alive;
   * see {@link Fence}. */
  public static final String CONTEXT_FENCE = "hollyslip:fence/";
  /** Metadata context of this project: who holds a client's name; see {@link Fence#parseHolderReply}. */
  public static final String CONTEXT_EPOCH = "hollyslip:epoch/";
  /** Size in bytes of the block whose status is one value of {@link #CONTEXT_LOAD}. */
  public static final int LOAD_BLOCK_BYTES = 512;
  /** Message of an ENOMEM error chunk between peers that share a context of this project: the command was
   * rejected unprocessed. */
  public static final String MESSAGE_FULL = "hollyslip:full";
  /** Message of an EPERM error chunk between such peers: a newer fence is in force and the command never
   * runs. */
  public static final String MESSAGE_FENCED = "hollyslip:fenced";
  /** Maximum accepted size in bytes of a message or of option data. */
  public static final int MAX_OPTION_BYTES = 64 * 1024;

  /** Values of {@link #CONTEXT_LOAD}, in order; each is an unsigned 32-bit integer. */
  public enum LoadMetric {
    /** Random number drawn at each start of the node. */
    BOOT,
    /** Time since that start, ms; saturates at its maximum. */
    AGE_MS,
    /** Requests in progress. */
    INFLIGHT,
    /** Requests of these that are queued. */
    QUEUE,
    /** Recent service time without queueing, us. */
    LATENCY_US
  }

  private Nbd() {}
}
