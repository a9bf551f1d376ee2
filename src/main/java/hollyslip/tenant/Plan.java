package hollyslip.tenant;

/** Named terms that volumes stand on. {@code revision} counts its changes from 1. */
public record Plan(String name, long revision, Terms terms) {}
