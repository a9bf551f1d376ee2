package hollyslip.tenant;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import hollyslip.HostScheduler.NodeState;

/** One change of a {@link ChangeSet}. It holds the complete new value, so that replaying it repeats no
 * validation. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({@JsonSubTypes.Type(value = Change.PlanPut.class, name = "plan"),
    @JsonSubTypes.Type(value = Change.PlanRemoved.class, name = "plan-gone"),
    @JsonSubTypes.Type(value = Change.TenantPut.class, name = "tenant"),
    @JsonSubTypes.Type(value = Change.TenantRemoved.class, name = "tenant-gone"),
    @JsonSubTypes.Type(value = Change.VolumePut.class, name = "volume"),
    @JsonSubTypes.Type(value = Change.VolumeRemoved.class, name = "volume-gone"),
    @JsonSubTypes.Type(value = Change.NodeStatePut.class, name = "node"),
    @JsonSubTypes.Type(value = Change.TaskPut.class, name = "task"),
    @JsonSubTypes.Type(value = Change.TokenPut.class, name = "token"),
    @JsonSubTypes.Type(value = Change.TokenRemoved.class, name = "token-gone"),
    @JsonSubTypes.Type(value = Change.IdempotencyKeyPut.class, name = "key")})
public sealed interface Change {
  record PlanPut(Plan plan) implements Change {}

  record PlanRemoved(String name) implements Change {}

  record TenantPut(Tenant tenant) implements Change {}

  record TenantRemoved(long id) implements Change {}

  record VolumePut(HostedVolume volume) implements Change {}

  record VolumeRemoved(long id) implements Change {}

  /** A node state set by an administrator; it overrides the one in the settings. */
  record NodeStatePut(String node, long revision, NodeState state) implements Change {}

  record TaskPut(Task task) implements Change {}

  record TokenPut(Token token) implements Change {}

  record TokenRemoved(String id) implements Change {}

  /** Records that a creation was done under an idempotency key: a repeated request gets the same response.
   *
   * @param key
   *          the caller's id and the key it sent
   * @param digest
   *          hash of the request
   * @param path
   *          path of the created resource
   * @param at
   *          time of creation, ms since the Unix epoch */
  record IdempotencyKeyPut(String key, String digest, String path, long at) implements Change {}

  /** A long-running operation; {@code doneAt} is 0 while it is running. */
  record Task(long id, String kind, String target, long startedAt, long doneAt) {}

  /** A bearer token, of which only the hash is stored; {@code tenant} is 0 for an operator's token. */
  record Token(String id, String hash, long tenant, String who) {}
}
