package hollyslip.cli;

import hollyslip.emulator.Estimate;
import hollyslip.emulator.Experiment;
import hollyslip.emulator.Experiment.Run;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs an experiment in the emulator. */
@Command(name = "experiment", mixinStandardHelpOptions = true, description = "Plays a day in the emulator at each point of a sweep with the same seeds (docs/load.md): prints means with 95 percent confidence intervals and the differences between neighbouring values of the last parameter, and writes a table and plots. An interrupted experiment is resumed.")
final class ExperimentCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "experiment script")
  Path file;
  @Option(names = "--out", required = true, description = "directory for runs, table and plots")
  Path out;
  @Option(names = "--threads", defaultValue = "0", description = "number of concurrent runs; 0: one per core")
  int threads;

  @Override
  public Integer call() throws IOException, InterruptedException {
    LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.OFF);
    Experiment experiment;
    try {
      experiment = Experiment.read(file);
    } catch (IllegalArgumentException | java.nio.file.NoSuchFileException e) {
      System.err.println(e.getMessage());
      return Main.EXIT_INVALID_INPUT;
    }
    Files.createDirectories(out);
    int concurrency = threads > 0 ? threads : Runtime.getRuntime().availableProcessors();
    List<Run> runs = experiment.run(out.resolve("runs.jsonl"), concurrency,
        r -> System.err.printf(Locale.ROOT, "%s seed %d: %.1f%% in aim%s%n", r.point(), r.seed(),
            100 * r.inAim(), r.broken().isEmpty() ? "" : " BROKEN " + r.broken()));
    String table = formatTable(experiment, runs);
    Files.writeString(out.resolve("table.txt"), table);
    System.out.print(table);
    writePlots(experiment, runs);
    return runs.stream().allMatch(r -> r.broken().isEmpty()) ? Main.EXIT_OK : Main.EXIT_FAILURE;
  }

  private static double[] values(List<Run> runs, ToDoubleFunction<Run> figure) {
    return runs.stream().mapToDouble(figure).toArray();
  }

  private static String formatTable(Experiment experiment, List<Run> runs) {
    StringBuilder table = new StringBuilder(
        "simulated; mean and half the interval of 95 in 100 over the seeds\n");
    table.append(String.format("%-40s", String.join(", ", experiment.sweepNames())));
    Experiment.MEASURES.keySet().forEach(figure -> table.append(String.format(" %18s", figure)));
    table.append(String.format(" %7s%n", "broken"));
    Map<String, String> previous = null;
    for (Map<String, String> point : experiment.points()) {
      List<Run> pointRuns = Experiment.runsAt(runs, point);
      table.append(String.format("%-40s", String.join(", ", point.values())));
      for (var figure : Experiment.MEASURES.values()) {
        table.append(formatEstimate(Estimate.of(values(pointRuns, figure)), ""));
      }
      table.append(String.format(" %7d%n", pointRuns.stream().filter(r -> !r.broken().isEmpty()).count()));
      if (previous != null && differOnlyInLastName(experiment, previous, point)) {
        table.append(String.format("%-40s", "  more than the one above"));
        for (var figure : Experiment.MEASURES.values()) {
          Estimate difference = Estimate.paired(values(Experiment.runsAt(runs, previous), figure),
              values(pointRuns, figure));
          table.append(formatEstimate(difference, difference.isSignificant() ? "*" : ""));
        }
        table.append(System.lineSeparator());
      }
      previous = point;
    }
    return table.append("* differs by more than chance, paired by seed\n").toString();
  }

  private static String formatEstimate(Estimate estimate, String mark) {
    return String.format(Locale.ROOT, " %18s", String.format(Locale.ROOT, "%.2f +-%.2f%s", estimate.mean(),
        estimate.halfWidth(),
        mark));
  }

  /** Returns whether two points differ only in the last parameter. */
  private static boolean differOnlyInLastName(Experiment experiment, Map<String, String> a,
      Map<String, String> b) {
    List<String> names = experiment.sweepNames();
    return names.size() > 1 && names.subList(0, names.size() - 1)
        .stream()
        .allMatch(k -> a.get(k).equals(b.get(k)));
  }

  /** Writes a plot for each figure, over the first parameter if that is numeric, with a line for each
   * combination of the others. */
  private void writePlots(Experiment experiment, List<Run> runs) throws IOException {
    System.setProperty("java.awt.headless", "true");
    if (experiment.sweepNames().isEmpty()) {
      return;
    }
    String first = experiment.sweepNames().get(0);
    for (var figure : Experiment.MEASURES.entrySet()) {
      Map<String, List<double[]>> lines = new LinkedHashMap<>();
      for (Map<String, String> point : experiment.points()) {
        Map<String, String> others = new LinkedHashMap<>(point);
        others.remove(first);
        Estimate estimate = Estimate.of(values(Experiment.runsAt(runs, point), figure.getValue()));
        try {
          lines.computeIfAbsent(others.isEmpty() ? figure.getKey() : others.toString(),
              k -> new ArrayList<>())
              .add(new double[]{Double.parseDouble(point.get(first)), estimate.mean(),
                  Double.isInfinite(estimate.halfWidth()) ? 0 : estimate.halfWidth()});
        } catch (NumberFormatException notNumeric) {
          return;
        }
      }
      XYChart chart = new XYChartBuilder().width(900)
          .height(560)
          .title("simulated")
          .xAxisTitle(first)
          .yAxisTitle(figure.getKey())
          .build();
      chart.getStyler().setXAxisLogarithmic(true);
      lines.forEach((name, points) -> {
        XYSeries series = chart.addSeries(name, points.stream().mapToDouble(v -> v[0]).toArray(),
            points.stream().mapToDouble(v -> v[1]).toArray(),
            points.stream().mapToDouble(v -> v[2]).toArray());
        series.setSmooth(false);
      });
      BitmapEncoder.saveBitmap(chart, out.resolve(figure.getKey()
          .replaceAll("[^a-z0-9]+", "-")
          .replaceAll("-$", "")).toString(), BitmapEncoder.BitmapFormat.PNG);
    }
  }
}
