#!/usr/bin/env python3
"""Write a day file for each kind of trouble, alone and twice, and seeded pairs, into tests/days/.

scripts/days.sh plays them. The days name no service or place, so they fit every deployment.
"""
import pathlib
import random

KINDS = {
    # name: (table, fields without `at`)
    "burst": ("faults", 'kind = "burst", x = 1.7, for_s = 4.0'),
    "hot_key": ("faults", 'kind = "hot_key", share = 0.3, for_s = 5.5'),
    "retry_abuse": ("faults", 'kind = "retry_abuse", share = 0.3, x = 3.0, for_s = 5.0'),
    "give_up": ("faults", 'kind = "give_up", share = 0.3, for_s = 5.0'),
    "give_up_once": ("faults", 'kind = "give_up", share = 0.3, for_s = 5.0, how = "once"'),
    "srv_crash": ("faults", 'kind = "srv_crash", share = 0.14, for_s = 4.5'),
    "srv_crash_dark": ("faults", 'kind = "srv_crash", share = 0.14, for_s = 4.5, how = "dark"'),
    "srv_crash_gone": ("faults", 'kind = "srv_crash", count = 2, how = "dark gone joined"'),
    "srv_crash_domain": ("faults", 'kind = "srv_crash", how = "domain dark", for_s = 7.0'),
    "srv_slow": ("faults", 'kind = "srv_slow", share = 0.16, x = 5.0, for_s = 6.0'),
    "srv_slow_joined": ("faults", 'kind = "srv_slow", count = 1, x = 4.0, for_s = 8.0, how = "joined"'),
    "srv_grey_errors": ("faults", 'kind = "srv_grey", share = 0.15, x = 0.4, for_s = 6.0, how = "errors"'),
    "srv_grey_shed": ("faults", 'kind = "srv_grey", share = 0.15, x = 0.4, for_s = 6.0, how = "shed"'),
    "srv_grey_busy": ("faults", 'kind = "srv_grey", share = 0.15, x = 0.4, for_s = 6.0, how = "busy"'),
    "srv_grey_hang": ("faults", 'kind = "srv_grey", share = 0.15, x = 0.4, for_s = 6.0, how = "hang"'),
    "srv_grey_reset": ("faults", 'kind = "srv_grey", share = 0.15, x = 0.4, for_s = 6.0, how = "reset"'),
    "srv_grey_mute": ("faults", 'kind = "srv_grey", share = 0.15, x = 0.4, for_s = 6.0, how = "mute"'),
    "srv_grey_slow": ("faults", 'kind = "srv_grey", share = 0.15, x = 8.0, for_s = 6.0, how = "slow"'),
    "srv_cut": ("faults", 'kind = "srv_cut", share = 0.2, for_s = 8.0'),
    "srv_cut_fronts": ("faults", 'kind = "srv_cut", share = 0.2, for_s = 8.0, how = "fronts"'),
    "srv_cut_some": ("faults", 'kind = "srv_cut", share = 0.2, for_s = 8.0, how = "some"'),
    "srv_cut_one_way": ("faults", 'kind = "srv_cut", share = 0.2, for_s = 8.0, how = "one_way"'),
    "srv_cut_reborn": ("faults", 'kind = "srv_cut", share = 0.2, for_s = 8.0, how = "reborn"'),
    "srv_cut_reset": ("faults", 'kind = "srv_cut", share = 0.2, for_s = 8.0, how = "reset"'),
    "release": ("plan", 'kind = "release", share = 0.45, x = 1.0, gap_s = 1.0'),
    "scale_out": ("plan", 'kind = "scale_out", share = 0.25, gap_s = 2.0'),
    "scale_in": ("plan", 'kind = "scale_in", share = 0.13'),
    "scale_in_spot": ("plan", 'kind = "scale_in", share = 0.13, how = "spot"'),
    "answer_lost": ("faults", 'kind = "answer_lost", share = 0.5, x = 0.05, for_s = 5.0'),
    "answer_lost_reset": ("faults", 'kind = "answer_lost", share = 0.5, x = 0.3, for_s = 5.0, how = "reset"'),
    "garble": ("faults", 'kind = "garble", share = 0.5, x = 0.05, for_s = 5.0'),
    "garble_extra": ("faults", 'kind = "garble", share = 0.6, x = 0.05, for_s = 5.0, how = "extra late"'),
    "garble_unframed": ("faults", 'kind = "garble", share = 0.6, x = 0.1, for_s = 5.0, how = "unframed"'),
    "garble_early": ("faults", 'kind = "garble", share = 0.6, x = 0.1, for_s = 5.0, how = "early"'),
    "node_kill": ("faults", 'kind = "node_kill", share = 0.16, for_s = 3.5'),
    "node_kill_power": ("faults", 'kind = "node_kill", share = 0.16, for_s = 3.5, how = "power"'),
    "node_kill_giver": ("faults", 'kind = "node_kill", count = 1, how = "giver"'),
    "node_kill_leader_race": ("faults", 'kind = "node_kill", on = "core", count = 1, how = "leader race drain"'),
    "node_kill_meet": ("faults", 'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "meet drain"'),
    "node_freeze": ("faults", 'kind = "node_freeze", share = 0.12, for_s = 3.5'),
    "node_freeze_renewed": ("faults", 'kind = "node_freeze", count = 1, for_s = 3.5, how = "renewed"'),
    "node_slow": ("faults", 'kind = "node_slow", share = 0.15, x = 5.5, for_s = 5.5'),
    "roll_term": ("plan", 'kind = "roll_term", share = 0.5, x = 1.0, gap_s = 1.3'),
    "roll_term_busy": ("plan", 'kind = "roll_term", how = "busy", gap_s = 1.0'),
    "roll_term_remove": ("plan", 'kind = "roll_term", how = "remove", share = 0.2, gap_s = 1.0'),
    "herd_kill": ("faults", 'kind = "herd_kill", share = 0.6, for_s = 2.0'),
    "herd_kill_power": ("faults", 'kind = "herd_kill", share = 0.6, for_s = 2.0, how = "power"'),
    "herd_kill_all": ("faults", 'kind = "herd_kill", on = "core", for_s = 2.0'),
    "herd_kill_off": ("faults", 'kind = "herd_kill", on = "core", for_s = 2.0, how = "off"'),
    "add_nodes": ("plan", 'kind = "add_nodes", share = 0.75'),
    "replace_core": ("faults", 'kind = "replace_core", x = 2.0'),
    "replace_core_planned": ("plan", 'kind = "replace_core", x = 2.0, how = "planned"'),
    "after_ack_kill": ("faults", 'kind = "after_ack_kill", for_s = 3.0'),
    "after_ack_kill_timed": ("faults", 'kind = "after_ack_kill", for_s = 3.0, how = "timed"'),
    "core_cut": ("faults", 'kind = "core_cut", count = 1, for_s = 5.5'),
    "core_cut_leader": ("faults", 'kind = "core_cut", for_s = 4.0, how = "leader race"'),
    "core_cut_one_way": ("faults", 'kind = "core_cut", count = 1, for_s = 5.5, how = "one_way"'),
    "node_cut": ("faults", 'kind = "node_cut", share = 0.17, for_s = 5.5'),
    "node_cut_all": ("faults", 'kind = "node_cut", share = 0.17, for_s = 5.5, how = "all"'),
    "node_cut_servers": ("faults", 'kind = "node_cut", share = 0.17, for_s = 5.5, how = "servers"'),
    "lossy": ("faults", 'kind = "lossy", x = 0.03, for_s = 5.5'),
    "platform_down": ("faults", 'kind = "platform_down", for_s = 5.0'),
    "platform_down_busy": ("faults", 'kind = "platform_down", for_s = 5.0, how = "busy"'),
    "platform_down_lapse": ("faults", 'kind = "platform_down", for_s = 6.0, how = "lapse"'),
    "platform_down_nodes": ("faults", 'kind = "platform_down", for_s = 8.0, how = "nodes many revoke", share = 0.35'),
    "platform_down_leader": ("faults", 'kind = "platform_down", for_s = 7.0, how = "nodes leader silent", count = 1'),
    "platform_slow": ("faults", 'kind = "platform_slow", x = 60.0, for_s = 4.5'),
    "platform_lost": ("faults", 'kind = "platform_lost", x = 0.35, for_s = 4.5'),
    "platform_lost_late": ("faults", 'kind = "platform_lost", x = 0.35, for_s = 4.5, how = "late"'),
    "platform_compact": ("faults", 'kind = "platform_compact", x = 5.0, for_s = 2.0'),
    "platform_compact_keyed": ("faults", 'kind = "platform_compact", x = 5.0, for_s = 2.0, how = "keyed drain"'),
    "config_route": ("plan", 'kind = "config_change", how = "route"'),
    "config_weights": ("plan", 'kind = "config_change", how = "weights"'),
    "config_timeout": ("plan", 'kind = "config_change", how = "timeout"'),
    "config_tenant": ("plan", 'kind = "config_change", how = "tenant"'),
    "config_idle": ("plan", 'kind = "config_change", how = "idle"'),
    "config_storm": ("plan", 'kind = "config_storm", for_s = 4.0, gap_s = 0.3'),
    "big_config": ("plan", 'kind = "big_config", count = 350'),
    "revoke": ("plan", 'kind = "revoke", count = 2, gap_s = 1.5'),
    "revoke_last": ("plan", 'kind = "revoke", count = 3, gap_s = 0.5, how = "last"'),
    "applied_late": ("faults", 'kind = "applied_late", x = 0.4, for_s = 5.0'),
    "replace_with_reuse": ("faults", 'kind = "replace_with_reuse", share = 0.15'),
    "replace_with_reuse_drain": ("faults", 'kind = "replace_with_reuse", share = 0.15, how = "drain"'),
    "replace_with_reuse_dark": ("faults", 'kind = "replace_with_reuse", share = 0.15, how = "dark"'),
    "clock_step": ("faults", 'kind = "clock_step", x = 2000.0, share = 0.4, for_s = 5.0'),
    "clock_step_back": ("faults", 'kind = "clock_step", x = 4000.0, share = 0.4, for_s = 5.0, how = "back"'),
    "hup": ("plan", 'kind = "hup", share = 0.5, gap_s = 1.0'),
    "reset_conns": ("faults", 'kind = "reset_conns", share = 0.3, x = 0.5'),
}
PAIRS = 40
FIRST, AGAIN = 4.0, 15.0  # seconds from the start of traffic


def write(folder, name, entries, seed):
    """One day; `entries` are (table, time, fields)."""
    text = f'name = "{name}"\nslot = "trouble"\nseed = {seed}\nlabels = []\n'
    for table in ("plan", "faults"):
        rows = [f"  {{ at = {at}, {fields} }}," for t, at, fields in entries if t == table]
        text += f"{table} = [\n" + "\n".join(rows) + "\n]\n" if rows else f"{table} = []\n"
    (folder / f"{name}.toml").write_text(text)


def main():
    folder = pathlib.Path(__file__).resolve().parent.parent / "tests" / "days"
    folder.mkdir(exist_ok=True)
    for number, (name, (table, fields)) in enumerate(KINDS.items()):
        write(folder, f"one-{name}", [(table, FIRST, fields)], 1000 + number)
        write(folder, f"twice-{name}", [(table, FIRST, fields), (table, AGAIN, fields)], 2000 + number)
    draw = random.Random(20261202)
    for number in range(PAIRS):
        one, two = draw.sample(sorted(KINDS), 2)
        at = [round(draw.uniform(2, 20), 1) for _ in range(2)]
        entries = [(KINDS[one][0], at[0], KINDS[one][1]), (KINDS[two][0], at[1], KINDS[two][1])]
        write(folder, f"pair-{number}-{one}-{two}", entries, 3000 + number)


main()
