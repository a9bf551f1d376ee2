package hollyslip.cli;

import hollyslip.audit.Auditor;
import hollyslip.audit.RunRecords;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Audits the records of a run. */
@Command(name = "audit", mixinStandardHelpOptions = true, description = "Checks the seven rules in the records of a run: figures.json, asked-*.jsonl, commands-*.jsonl and told-*.jsonl.")
final class AuditCommand implements Callable<Integer> {
  private static final int MAX_BREACHES_SHOWN = 20;

  @Parameters(paramLabel = "DIR", description = "directory of the records")
  Path dir;

  @Override
  public Integer call() {
    try {
      return printReport(RunRecords.audit(dir)) ? Main.EXIT_OK : Main.EXIT_FAILURE;
    } catch (IOException e) {
      System.err.println(e.getMessage());
      return Main.EXIT_INVALID_INPUT;
    }
  }

  /** Prints a report; returns whether all rules were kept. */
  static boolean printReport(Auditor.Report report) {
    System.out.printf("%-22s %10s %9s%n", "rule", "looked at", "breaches");
    report.checked()
        .forEach((rule, n) -> System.out.printf("%-22s %10d %9d%n",
            rule.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '), n,
            report.breaches().stream().filter(b -> b.rule() == rule).count()));
    report.breaches().stream().limit(MAX_BREACHES_SHOWN).forEach(b -> System.out.println("  " + b));
    return report.kept();
  }
}
