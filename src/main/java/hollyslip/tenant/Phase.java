package hollyslip.tenant;

import java.util.Set;

/** Lifecycle phases of tenants and volumes. An administrator's command starts a transition, and the gateway
 * reports its completion; both follow {@link #allowedNext}. */
public enum Phase {
  /** Recorded but not served yet. */
  CREATING,
  /** Served as recorded. */
  ACTIVE,
  /** Served, with a recorded change that the gateway has not applied yet. */
  CHANGING,
  /** Accepts no new requests; those in flight are being answered. */
  DRAINING,
  /** Removed; only the audit trail still mentions it. */
  REMOVED;

  /** Phases that may follow this one. A tenant or volume that is still being created or changed may be
   * changed again. */
  public Set<Phase> allowedNext() {
    return switch (this) {
      case CREATING -> Set.of(CREATING, ACTIVE, DRAINING);
      case ACTIVE -> Set.of(CHANGING, DRAINING);
      case CHANGING -> Set.of(CHANGING, ACTIVE, DRAINING);
      case DRAINING -> Set.of(REMOVED);
      case REMOVED -> Set.of();
    };
  }

  public boolean canBecome(Phase target) {
    return allowedNext().contains(target);
  }

  /** The phase that follows when an administrator changes the tenant or volume. */
  Phase afterChange() {
    return this == CREATING ? CREATING : CHANGING;
  }
}
