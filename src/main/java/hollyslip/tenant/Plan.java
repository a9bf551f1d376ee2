package hollyslip.tenant;

/** Named terms that volumes refer to. {@code revision} counts the plan's changes, starting at 1. */
public record Plan(String name, long revision, Terms terms) {}
