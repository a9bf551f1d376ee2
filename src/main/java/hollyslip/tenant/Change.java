package hollyslip.tenant;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import hollyslip.HostScheduler.NodeState;

/** What a decision changes: whole new values, so that applying it needs no decision again. */
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

  /** An administrator's word on a node, which stands against the settings'. */
  record NodeStatePut(String node, long revision, NodeState state) implements Change {}

  record TaskPut(Task task) implements Change {}

  record TokenPut(Token token) implements Change {}

  record TokenRemoved(String id) implements Change {}

  /** A creation was done under a key: the same request again gets the same answer.
   *
   * @param key
   *          the caller's key, with the caller
   * @param digest
   *          of the request
   * @param path
   *          of what was created
   * @param at
   *          when, ms since 1970 */
  record IdempotencyKeyPut(String key, String digest, String path, long at) implements Change {}

  /** Something that takes time: {@code doneAt} 0: it goes on. */
  record Task(long id, String kind, String target, long startedAt, long doneAt) {}

  /** A bearer token: only its hash is kept. {@code tenant} 0: an operator's. */
  record Token(String id, String hash, long tenant, String who) {}
}
