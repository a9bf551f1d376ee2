package hollyslip.tenant;

import java.util.Set;

/** States of a tenant and of a volume. Administrators bring about the first step of a change, the gateway
 * reports when it is carried out; both only along {@link #allowedNext}. */
public enum Phase {
  /** Recorded, not served yet. */
  CREATING,
  /** Served as recorded. */
  ACTIVE,
  /** Served; a change is recorded that the gateway has not carried out yet. */
  CHANGING,
  /** Takes nothing new; what it holds is being answered. */
  DRAINING,
  /** Gone; only the audit trail knows of it. */
  REMOVED;

  /** The legal steps from here. A change of what is still being created or changed is one more change. */
  public Set<Phase> allowedNext() {
    return switch (this) {
      case CREATING -> Set.of(CREATING, ACTIVE, DRAINING);
      case ACTIVE -> Set.of(CHANGING, DRAINING);
      case CHANGING -> Set.of(CHANGING, ACTIVE, DRAINING);
      case DRAINING -> Set.of(REMOVED);
      case REMOVED -> Set.of();
    };
  }

  public boolean canBecome(Phase to) {
    return allowedNext().contains(to);
  }

  /** Where a change by an administrator leads from here. */
  Phase afterChange() {
    return this == CREATING ? CREATING : CHANGING;
  }
}
