# Thin front of the Meson build.  Every target works on a fresh Debian machine
# as root: missing packages are installed through apt-get first.

BUILD = build
SANITIZED = build-sanitized

SEED ?= 1
SECONDS ?= 60

all: $(BUILD)/build.ninja
	ninja -C $(BUILD)

deps:
	@tests/install-packages.sh packages.list

$(BUILD)/build.ninja: | deps
	meson setup $(BUILD) -Dabort_on_violation=true

$(SANITIZED)/build.ninja: | deps
	meson setup $(SANITIZED) -Dabort_on_violation=true \
	  -Db_sanitize=address,undefined -Db_lundef=false

check: $(BUILD)/build.ninja $(SANITIZED)/build.ninja
	tests/check.sh short $(BUILD) $(SANITIZED)

# The soaks of a minute.
check-long: $(BUILD)/build.ninja $(SANITIZED)/build.ninja
	tests/check.sh long $(BUILD) $(SANITIZED)

lint: $(BUILD)/build.ninja
	tests/lint.sh $(BUILD)

format:
	git ls-files '*.c' '*.h' | xargs clang-format -i

demo: all
	$(BUILD)/tests/demo

measure: all
	$(BUILD)/tests/measure $(MEASURE)

soak: all
	$(BUILD)/tests/soak --seed $(SEED) --seconds $(SECONDS)

clean:
	rm -rf $(BUILD) $(SANITIZED)

.PHONY: all deps check check-long lint format demo measure soak clean
