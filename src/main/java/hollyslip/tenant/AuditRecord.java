package hollyslip.tenant;

/** A line of the audit trail.
 *
 * @param sequence
 *          number of the record in the store
 * @param at
 *          when, ms since 1970
 * @param who
 *          whose command
 * @param what
 *          the command
 * @param target
 *          path of what it was about
 * @param tenant
 *          id of the tenant whose it is; 0: of none
 * @param before
 *          value before, null: none
 * @param after
 *          value after, null: none */
public record AuditRecord(long sequence, long at, String who, String what, String target, long tenant,
    Object before, Object after) {}
