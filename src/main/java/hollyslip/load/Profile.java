package hollyslip.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import one.profiler.AsyncProfiler;

/** Profiles a piece of work with async-profiler, sampling by timer, which needs no privileges, and reports a
 * table by thread and method and a flame graph. */
public final class Profile {
  private static final int WIDTH = 1600, ROW_HEIGHT = 16, MIN_FRAME_WIDTH = 2;

  /** A frame of the flame graph: its samples including those of its callees, and the callees by name. */
  private static final class Frame {
    long samples;
    final Map<String, Frame> callees = new TreeMap<>();
  }

  /** Work to be profiled. */
  public interface Work {
    void run() throws Exception;
  }

  private Profile() {}

  /** Runs {@code work} under the profiler.
   *
   * @param event
   *          what to sample: {@code itimer} for CPU time, {@code alloc} for allocated bytes
   * @param folder
   *          receives {@code NAME.collapsed} and {@code NAME.svg}
   * @throws IOException
   *           if the profiler cannot be used on this machine, or the files cannot be written */
  public static void run(String event, Path folder, String name, Work work) throws Exception {
    Files.createDirectories(folder);
    Path collapsed = folder.resolve(name + ".collapsed");
    AsyncProfiler profiler = AsyncProfiler.getInstance();
    String how = event.equals("alloc") ? "alloc=64k" : "event=itimer,interval=1ms";
    profiler.execute("start," + how + ",threads,cstack=vm");
    work.run();
    profiler.execute("stop,file=" + collapsed + ",collapsed,total");
    List<String> lines = Files.readAllLines(collapsed);
    Files.writeString(folder.resolve(name + ".svg"), svg(callTree(lines), name));
    System.out.print(table(lines));
  }

  private static Frame callTree(List<String> lines) {
    Frame all = new Frame();
    for (String line : lines) {
      int space = line.lastIndexOf(' ');
      long n = Long.parseLong(line.substring(space + 1));
      Frame at = all;
      at.samples += n;
      for (String frame : line.substring(0, space).split(";")) {
        at = at.callees.computeIfAbsent(frame, k -> new Frame());
        at.samples += n;
      }
    }
    return all;
  }

  /** Formats the share of samples by thread, and within each thread by top frame. */
  static String table(List<String> lines) {
    Map<String, Map<String, Long>> threads = new TreeMap<>();
    long all = 0;
    for (String line : lines) {
      int space = line.lastIndexOf(' ');
      long n = Long.parseLong(line.substring(space + 1));
      String[] frames = line.substring(0, space).split(";");
      String thread = frames[0].replaceAll("[0-9]+|tid=|\\[|\\]", "").strip();
      threads.computeIfAbsent(thread, k -> new TreeMap<>()).merge(frames[frames.length - 1], n, Long::sum);
      all += n;
    }
    StringBuilder out = new StringBuilder();
    long total = Math.max(1, all);
    threads.entrySet()
        .stream()
        .sorted((a, b) -> Long.compare(sum(b.getValue()), sum(a.getValue())))
        .limit(8)
        .forEach(t -> {
          out.append(String.format(Locale.ROOT, "%5.1f%%  %s%n", 100.0 * sum(t.getValue()) / total, t
              .getKey()));
          t.getValue()
              .entrySet()
              .stream()
              .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
              .limit(14)
              .forEach(m -> out.append(String.format(Locale.ROOT, "        %5.1f%%  %s%n", 100.0 * m
                  .getValue() / total, m.getKey())));
        });
    return out.toString();
  }

  private static long sum(Map<String, Long> m) {
    return m.values().stream().mapToLong(n -> n).sum();
  }

  /** Renders the flame graph: one box per frame, its width proportional to its samples. */
  static String svg(Frame all, String title) {
    List<String> boxes = new ArrayList<>();
    int depth = drawFrame(all, title, 0, WIDTH, 0, Math.max(1, all.samples), boxes);
    StringBuilder s = new StringBuilder(String.format("<svg xmlns='http://www.w3.org/2000/svg' width='%d' "
        + "height='%d' font-family='monospace' font-size='11'>%n", WIDTH, (depth + 1) * ROW_HEIGHT));
    boxes.forEach(b -> s.append(b).append('\n'));
    return s.append("</svg>\n").toString();
  }

  private static int drawFrame(Frame f, String name, double x, double width, int row, long all,
      List<String> boxes) {
    String safe = name.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("'", "&apos;");
    int chars = (int) (width / 7);
    boxes.add(String.format(Locale.ROOT,
        "<g><title>%s %.1f%%</title><rect x='%.1f' y='%d' width='%.1f' height='%d' fill='hsl(%d,60%%,70%%)' "
            + "stroke='white' stroke-width='0.5'/><text x='%.1f' y='%d'>%s</text></g>", safe, 100.0
                * f.samples
                / all, x, row * ROW_HEIGHT, width, ROW_HEIGHT, Math.floorMod(name.hashCode(), 60), x + 2, row
                    * ROW_HEIGHT + 12,
        chars < 4 ? "" : safe.length() <= chars ? safe : safe.substring(0, chars)));
    int deepest = row;
    double at = x;
    for (Map.Entry<String, Frame> e : f.callees.entrySet()) {
      double w = width * e.getValue().samples / Math.max(1, f.samples);
      if (w >= MIN_FRAME_WIDTH) {
        deepest = Math.max(deepest, drawFrame(e.getValue(), e.getKey(), at, w, row + 1, all, boxes));
      }
      at += w;
    }
    return deepest;
  }
}
