package hollyslip.volume;

import java.util.List;

/** A volume: a sequence of extents of equal size, each on a shard. Immutable.
 *
 * @param id
 *          number by which the scheduler knows the volume
 * @param name
 *          name, unique in the deployment
 * @param tenant
 *          tenant that owns the volume
 * @param plan
 *          name of the volume's plan
 * @param hosts
 *          number of gateways through which its requests come
 * @param bytes
 *          size in bytes, a multiple of {@link #BLOCK_BYTES}
 * @param extentBytes
 *          extent size in bytes, a multiple of {@link #BLOCK_BYTES}
 * @param extents
 *          location of each extent, in order */
public record Volume(long id, String name, String tenant, String plan, int hosts, long bytes,
    long extentBytes, List<Extent> extents) {
  /** Size in bytes of a block, the unit of addresses: virtio 1.2, 5.2.4 ("capacity ... in 512-byte
   * sectors"). */
  public static final int BLOCK_BYTES = 512;

  /** Location of an extent: {@code offset} bytes into the shard's data. */
  public record Extent(int shard, long offset) {
    public Extent {
      if (shard < 0) {
        throw new IllegalArgumentException("extent.shard: must be at least 0, not " + shard);
      }
      if (offset < 0 || offset % BLOCK_BYTES != 0) {
        throw new IllegalArgumentException("extent.offset: must be a multiple of " + BLOCK_BYTES + ", not "
            + offset);
      }
    }
  }

  public Volume {
    if (name == null || name.isEmpty()) {
      throw new IllegalArgumentException("volume.name: is missing");
    }
    if (hosts < 1) {
      throw new IllegalArgumentException("volume.hosts: must be at least 1, not " + hosts);
    }
    if (bytes <= 0 || bytes % BLOCK_BYTES != 0) {
      throw new IllegalArgumentException("volume.bytes: must be a multiple of " + BLOCK_BYTES + ", not "
          + bytes);
    }
    if (extentBytes <= 0 || extentBytes % BLOCK_BYTES != 0) {
      throw new IllegalArgumentException("volume.extentBytes: must be a multiple of " + BLOCK_BYTES + ", not "
          + extentBytes);
    }
    extents = List.copyOf(extents);
    long needed = (bytes + extentBytes - 1) / extentBytes;
    if (extents.size() != needed) {
      throw new IllegalArgumentException("volume.extents: " + needed + " are needed for " + bytes
          + " bytes, not " + extents.size());
    }
  }

  /** Whether a byte range lies inside the volume and on block boundaries. */
  public boolean containsRange(long offset, long length) {
    return offset >= 0 && length > 0 && offset % BLOCK_BYTES == 0 && length % BLOCK_BYTES == 0
        && offset <= bytes && length <= bytes - offset;
  }
}
