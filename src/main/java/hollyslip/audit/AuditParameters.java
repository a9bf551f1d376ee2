package hollyslip.audit;

import java.util.List;
import java.util.Map;

/** The parameters of the rules that an audit checks. Times in us.
 *
 * @param answerSlackUs
 *          how long after a client's deadline an answer is still accepted
 * @param drainGraceUs
 *          how long a gateway may still send to a node after it was told that the node drains
 * @param settleUs
 *          how long a node may still run a command whose outcome is unknown
 * @param coldUnits
 *          units within {@code fallUs} that a cold node can always serve, from all gateways together
 * @param coldFrom
 *          fraction of its capacity that a node has when it starts
 * @param coldUs
 *          how long a node is cold after its start
 * @param fallUs
 *          window of the cold-node rule
 * @param budgetFree
 *          retries allowed in any window, regardless of the number of requests
 * @param budgetShare
 *          additional retries allowed for each request accepted in a window
 * @param budgetWindowUs
 *          window of the retry budget; 0: no budget
 * @param unitBytes
 *          bytes per unit, to count the work that a node received
 * @param mostUnits
 *          maximum number of units per request
 * @param limits
 *          limits by volume
 * @param areas
 *          the areas of the exports that belong to volumes, to attribute commands of nodes */
public record AuditParameters(long answerSlackUs, long drainGraceUs, long settleUs, double coldUnits,
    double coldFrom,
    long coldUs, long fallUs, double budgetFree, double budgetShare, long budgetWindowUs, long skewUs,
    long extentBytes, long unitBytes, int mostUnits, Map<String, Limit> limits, List<Area> areas) {
  /** A range of bytes of an export that belongs to a volume. */
  public record Area(String volume, String export, long from, long to) {}

  /** The limit of a volume, as a token bucket: units per second, capacity, and how far below zero it may
   * go. */
  public record Limit(double rate, double burst, double slack) {}
}
