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
@Command(name = "experiment", mixinStandardHelpOptions = true, description = "Plays a day in the emulator at each point of a sweep on the same seeds (docs/load.md): means with their intervals of 95 in 100, differences of neighbours of the last name swept, a table and plots. Goes on where it was interrupted.")
final class ExperimentCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "experiment, a script")
  Path file;
  @Option(names = "--out", required = true, description = "folder of runs, table and plots")
  Path out;
  @Option(names = "--threads", defaultValue = "0", description = "runs at a time; 0: as many as there are cores")
  int threads;

  @Override
  public Integer call() throws IOException, InterruptedException {
    LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.OFF);
    Experiment x;
    try {
      x = Experiment.read(file);
    } catch (IllegalArgumentException | java.nio.file.NoSuchFileException e) {
      System.err.println(e.getMessage());
      return Main.EXIT_USAGE;
    }
    Files.createDirectories(out);
    int n = threads > 0 ? threads : Runtime.getRuntime().availableProcessors();
    List<Run> runs = x.run(out.resolve("runs.jsonl"), n, r -> System.err.printf(Locale.ROOT,
        "%s seed %d: %.1f%% in aim%s%n", r.point(), r.seed(), 100 * r.inAim(), r.broken().isEmpty()
            ? ""
            : " BROKEN " + r.broken()));
    String table = formatTable(x, runs);
    Files.writeString(out.resolve("table.txt"), table);
    System.out.print(table);
    writePlots(x, runs);
    return runs.stream().allMatch(r -> r.broken().isEmpty()) ? Main.EXIT_OK : Main.EXIT_FAILURE;
  }

  private static double[] values(List<Run> runs, ToDoubleFunction<Run> figure) {
    return runs.stream().mapToDouble(figure).toArray();
  }

  private static String formatTable(Experiment x, List<Run> runs) {
    StringBuilder s = new StringBuilder(
        "simulated; mean and half the interval of 95 in 100 over the seeds\n");
    s.append(String.format("%-40s", String.join(", ", x.names())));
    Experiment.FIGURES.keySet().forEach(f -> s.append(String.format(" %18s", f)));
    s.append(String.format(" %7s%n", "broken"));
    Map<String, String> before = null;
    for (Map<String, String> p : x.points()) {
      List<Run> mine = Experiment.of(runs, p);
      s.append(String.format("%-40s", String.join(", ", p.values())));
      for (var f : Experiment.FIGURES.values()) {
        s.append(formatEstimate(Estimate.of(values(mine, f)), ""));
      }
      s.append(String.format(" %7d%n", mine.stream().filter(r -> !r.broken().isEmpty()).count()));
      if (before != null && differOnlyInLastName(x, before, p)) {
        s.append(String.format("%-40s", "  more than the one above"));
        for (var f : Experiment.FIGURES.values()) {
          Estimate d = Estimate.paired(values(Experiment.of(runs, before), f), values(mine, f));
          s.append(formatEstimate(d, d.clear() ? "*" : ""));
        }
        s.append(System.lineSeparator());
      }
      before = p;
    }
    return s.append("* differs by more than chance, paired by seed\n").toString();
  }

  private static String formatEstimate(Estimate e, String mark) {
    return String.format(Locale.ROOT, " %18s", String.format(Locale.ROOT, "%.2f +-%.2f%s", e.mean(), e.half(),
        mark));
  }

  /** Whether two points differ in the last name alone. */
  private static boolean differOnlyInLastName(Experiment x, Map<String, String> a, Map<String, String> b) {
    List<String> names = x.names();
    return names.size() > 1 && names.subList(0, names.size() - 1)
        .stream()
        .allMatch(k -> a.get(k).equals(b.get(k)));
  }

  /** A plot for each figure: over the first name swept where that is a number, a line for each value of the
   * others. */
  private void writePlots(Experiment x, List<Run> runs) throws IOException {
    System.setProperty("java.awt.headless", "true");
    if (x.names().isEmpty()) {
      return;
    }
    String first = x.names().get(0);
    for (var f : Experiment.FIGURES.entrySet()) {
      Map<String, List<double[]>> lines = new LinkedHashMap<>();
      for (Map<String, String> p : x.points()) {
        Map<String, String> others = new LinkedHashMap<>(p);
        others.remove(first);
        Estimate e = Estimate.of(values(Experiment.of(runs, p), f.getValue()));
        try {
          lines.computeIfAbsent(others.isEmpty() ? f.getKey() : others.toString(), k -> new ArrayList<>())
              .add(new double[]{Double.parseDouble(p.get(first)), e.mean(), Double.isInfinite(e.half())
                  ? 0
                  : e.half()});
        } catch (NumberFormatException notOne) {
          return;
        }
      }
      XYChart chart = new XYChartBuilder().width(900)
          .height(560)
          .title("simulated")
          .xAxisTitle(first)
          .yAxisTitle(f.getKey())
          .build();
      chart.getStyler().setXAxisLogarithmic(true);
      lines.forEach((name, at) -> {
        XYSeries series = chart.addSeries(name, at.stream().mapToDouble(v -> v[0]).toArray(), at.stream()
            .mapToDouble(v -> v[1])
            .toArray(), at.stream().mapToDouble(v -> v[2]).toArray());
        series.setSmooth(false);
      });
      BitmapEncoder.saveBitmap(chart, out.resolve(f.getKey()
          .replaceAll("[^a-z0-9]+", "-")
          .replaceAll("-$", ""))
          .toString(), BitmapEncoder.BitmapFormat.PNG);
    }
  }
}
