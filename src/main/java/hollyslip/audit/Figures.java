package hollyslip.audit;

import java.util.List;
import java.util.Map;

/** The figures of the rules that an audit goes by. Times in us.
 *
 * @param answerSlackUs
 *          how long after a client's deadline an answer still counts
 * @param drainGraceUs
 *          how long after it was told a gateway may still send to a draining node
 * @param settleUs
 *          how long after doubt a node may still run what it was sent
 * @param coldUnits
 *          units within {@code fallUs} that a cold node always bears, from all gateways together
 * @param coldFrom
 *          part of its capacity that a started node has at least
 * @param coldUs
 *          how long a started node is cold
 * @param fallUs
 *          the window of that rule
 * @param budgetFree
 *          further attempts allowed in any window, however few the requests
 * @param budgetShare
 *          further attempts allowed for each request taken in a window
 * @param budgetWindowUs
 *          the window; 0: no budget
 * @param unitBytes
 *          bytes of a unit, for work that a node saw
 * @param mostUnits
 *          units of one request at most
 * @param limits
 *          limits by volume
 * @param areas
 *          where volumes lie: whose a node's command is */
public record Figures(long answerSlackUs, long drainGraceUs, long settleUs, double coldUnits, double coldFrom,
    long coldUs, long fallUs, double budgetFree, double budgetShare, long budgetWindowUs, long skewUs,
    long extentBytes, long unitBytes, int mostUnits, Map<String, Limit> limits, List<Area> areas) {
  /** Bytes of an export that are a volume's. */
  public record Area(String volume, String export, long from, long to) {}

  /** A volume's limit: units a second, what it may hold, and how far below zero it may go. */
  public record Limit(double rate, double burst, double slack) {}
}
