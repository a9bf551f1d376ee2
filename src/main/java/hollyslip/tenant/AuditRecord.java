package hollyslip.tenant;

/** A record of the audit trail: one change and who made it.
 *
 * @param sequence
 *          sequence number of the change set in the store
 * @param at
 *          time of the command, ms since the Unix epoch
 * @param who
 *          who issued the command
 * @param what
 *          name of the command
 * @param target
 *          path of the affected resource
 * @param tenant
 *          id of the tenant that the change belongs to; 0: none
 * @param before
 *          value before the change; null: none
 * @param after
 *          value after the change; null: none */
public record AuditRecord(long sequence, long at, String who, String what, String target, long tenant,
    Object before, Object after) {}
